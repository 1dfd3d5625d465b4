#include "LibMembership/active_configuration.h"

#include <utility>

#include "LibDeclare/configuration_parser.h"

namespace bilberry::membership {

Adoption ActiveConfiguration::Offer(base::Revision revision,
                                    std::string document) {
  if (revision < revision_)
    return LowerRevision{revision_};
  if (revision == revision_)
    return AlreadyKnown{};
  auto parsed = declare::ParseConfiguration(document);
  if (!parsed.faults.empty())
    return MalformedDocument{parsed.faults.front()};
  revision_ = revision;
  document_ = std::move(document);
  configuration_ = std::make_shared<const declare::Configuration>(
      std::move(parsed.configuration));
  return Adopted{};
}

}  // namespace bilberry::membership
