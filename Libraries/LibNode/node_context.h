#pragma once

#include <cstdint>
#include <string>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibDeclare/host_settings.h"
#include "LibNode/action.h"
#include "LibPolicy/work.h"

namespace bilberry::node {

// Options to create an EntryNode.
struct NodeOptions {
  declare::HostSettings settings;
  base::Incarnation incarnation{};
  uint64_t seed = 0;
  policy::PolicyKind policy = policy::PolicyKind::kAdaptive;
};

// State shared by the coordinators of one host: identity, operation numbers,
// random generator and the actions being collected.
class NodeContext {
 public:
  explicit NodeContext(NodeOptions options);

  const declare::HostSettings& settings() const { return options_.settings; }
  base::Incarnation incarnation() const { return options_.incarnation; }
  policy::PolicyKind policy() const { return options_.policy; }
  base::Random& random() { return random_; }

  base::OperationId NextOperation();

  void Emit(Action action) { actions_.push_back(std::move(action)); }
  void Log(base::LogEventId id, std::string detail);
  Actions TakeActions();

 private:
  NodeOptions options_;
  base::Random random_;
  uint64_t last_operation_ = 0;
  Actions actions_;
};

}  // namespace bilberry::node
