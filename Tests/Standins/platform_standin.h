#pragma once

#include <memory>
#include <string>

#include "Fakes/platform_store.h"
#include "LibBase/platform.h"
#include "LibTransport/http_listener.h"
#include "LibTransport/timer_queue.h"
#include "Standins/fault_injector.h"

namespace bilberry::standins {

// In-memory stand-in of the platform's table, object store and host list. The
// control address accepts POST /faults, POST /hosts and GET /counts.
class PlatformStandin {
 public:
  static base::Result<std::unique_ptr<PlatformStandin>> Create(
      transport::Reactor& reactor,
      const base::SocketAddress& address,
      const base::SocketAddress& control);

  const base::SocketAddress& address() const { return service_->address(); }
  const base::SocketAddress& control() const { return control_->address(); }

  void InjectFault(Fault fault) { fault_injector_.Order(fault); }
  fakes::PlatformStore& store() { return store_; }

 private:
  explicit PlatformStandin(transport::Reactor& reactor);

  transport::HttpResponse Serve(const transport::IncomingRequest& request);
  transport::HttpResponse Control(const transport::IncomingRequest& request);
  transport::HttpResponse PutHosts(const std::string& body);

  transport::TimerQueue timers_;
  FaultInjector fault_injector_;
  std::shared_ptr<transport::HttpListener> service_;
  std::unique_ptr<transport::HttpListener> control_;
  fakes::PlatformStore store_;
};

}  // namespace bilberry::standins
