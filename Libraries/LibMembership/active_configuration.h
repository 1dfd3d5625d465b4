#pragma once

#include <memory>
#include <string>
#include <variant>

#include "LibBase/ids.h"
#include "LibDeclare/configuration.h"
#include "LibDeclare/fault.h"

namespace bilberry::membership {

struct Adopted {};
struct AlreadyKnown {};
// The offered revision is lower than the one in force.
struct LowerRevision {
  base::Revision in_force{};
};
struct MalformedDocument {
  declare::Fault fault;
};

using Adoption =
    std::variant<Adopted, AlreadyKnown, LowerRevision, MalformedDocument>;

// The configuration in force at this host. The revision never decreases.
class ActiveConfiguration {
 public:
  Adoption Offer(base::Revision revision, std::string document);

  // 0 until the first adoption.
  base::Revision revision() const { return revision_; }
  // Null until the first adoption.
  std::shared_ptr<const declare::Configuration> configuration() const {
    return configuration_;
  }
  // The operator's original text, for peers that lack the revision.
  const std::string& document() const { return document_; }

 private:
  base::Revision revision_{};
  std::string document_;
  std::shared_ptr<const declare::Configuration> configuration_;
};

}  // namespace bilberry::membership
