#pragma once

#include <string>
#include <vector>

namespace bilberry::report {

// A printable table: a title, a header row and rows of the same length.
struct TextTable {
  std::string title;
  std::vector<std::string> head;
  std::vector<std::vector<std::string>> rows;
};

// Prints the table in aligned columns; numeric columns are right-aligned.
std::string PrintText(const TextTable& table);

// Formats with two decimal places; "inf" or "-inf" if infinite.
std::string NumberText(double number);

}  // namespace bilberry::report
