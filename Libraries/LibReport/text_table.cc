#include "LibReport/text_table.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace bilberry::report {

namespace {

bool IsNumber(const std::string& text) {
  return !text.empty() &&
         (text == "inf" || text == "-inf" ||
          text.find_first_not_of("0123456789.-%") == std::string::npos);
}

struct Column {
  size_t width = 0;
  bool holds_numbers = false;
};

std::vector<Column> ColumnsOf(const TextTable& table) {
  std::vector<Column> columns;
  for (const std::string& cell : table.head)
    columns.push_back({cell.size(), false});
  for (const auto& row : table.rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      columns[i].width = std::max(columns[i].width, row[i].size());
      columns[i].holds_numbers |= IsNumber(row[i]);
    }
  }
  return columns;
}

std::string PrintRow(const std::vector<std::string>& cells,
                     const std::vector<Column>& columns) {
  std::string line;
  for (size_t i = 0; i < cells.size(); ++i) {
    const std::string padding(columns[i].width - cells[i].size(), ' ');
    line += i == 0 ? "" : "  ";
    line += columns[i].holds_numbers ? padding + cells[i] : cells[i] + padding;
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

}  // namespace

std::string PrintText(const TextTable& table) {
  const std::vector<Column> columns = ColumnsOf(table);
  std::string text = table.title + "\n" + PrintRow(table.head, columns);
  for (const auto& row : table.rows)
    text += PrintRow(row, columns);
  return text;
}

std::string NumberText(double number) {
  if (std::isinf(number))
    return number > 0 ? "inf" : "-inf";
  char buf[64];
  std::snprintf(buf, sizeof(buf), "%.2f", number);
  return buf;
}

}  // namespace bilberry::report
