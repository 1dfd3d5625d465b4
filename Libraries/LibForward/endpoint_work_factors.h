#pragma once

#include <map>
#include <span>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::forward {

// How long work takes at endpoints at the moment, relative to the usual time,
// as their answers state it. Addresses endpoints on machines whose speed
// changes many times per second. Performs no I/O and reads no clock.
class EndpointWorkFactors {
 public:
  void Note(const base::EndpointName& name,
            base::Incarnation incarnation,
            double factor,
            base::TimePoint now);

  // Returns 1 if this incarnation has not stated its factor recently.
  double FactorOf(const base::EndpointName& name,
                  base::Incarnation incarnation,
                  base::TimePoint now) const;

  // Drops the state of endpoints that aren't listed.
  void KeepOnly(std::span<const ListedEndpoint> listed);

 private:
  struct Entry {
    base::Incarnation incarnation{};
    double factor = 1;
    base::TimePoint noted_at;
  };

  std::map<base::EndpointName, Entry> entries_;
};

}  // namespace bilberry::forward
