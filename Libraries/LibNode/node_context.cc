#include "LibNode/node_context.h"

#include <utility>

namespace bilberry::node {

NodeContext::NodeContext(NodeOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

base::OperationId NodeContext::NextOperation() {
  return base::OperationId{++last_operation_};
}

void NodeContext::Log(base::LogEventId id, std::string detail) {
  Emit(WriteLog{{id, std::move(detail)}});
}

Actions NodeContext::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace bilberry::node
