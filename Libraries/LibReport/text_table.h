#pragma once

#include <string>
#include <vector>

namespace bilberry::report {

// A table for people: a title, a head and rows of the same length.
struct TextTable {
  std::string title;
  std::vector<std::string> head;
  std::vector<std::vector<std::string>> rows;
};

// In columns; those that hold numbers are flush right.
std::string PrintText(const TextTable& table);

// With two digits after the point; "inf" when it is infinite.
std::string NumberText(double number);

}  // namespace bilberry::report
