#pragma once

#include <compare>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "LibReport/text_table.h"

namespace bilberry::operators {

// Collects, from the metrics pages of entry hosts, how loaded their placement
// owners see the endpoints.
class PlacementTable {
 public:
  // Adds the samples of one host's page; other lines are ignored.
  void AddPage(const std::string& host, std::string_view page);

  bool is_empty() const { return rows_.empty(); }
  report::TextTable ToTable() const;

 private:
  struct Key {
    std::string pool;
    std::string zone;
    std::string endpoint;
    std::string owner;  // Two hosts may consider themselves the owner.

    friend auto operator<=>(const Key&, const Key&) = default;
  };

  std::map<Key, std::map<std::string, double, std::less<>>> rows_;
};

}  // namespace bilberry::operators
