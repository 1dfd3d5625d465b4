#pragma once

#include <string>

#include "LibBase/log_event.h"

namespace bilberry::transport {

// Sets up glog to write to standard error only: hosts store nothing on disk.
void InitializeLog(const char* program);

// Writes one event as "event=NUMBER name=NAME detail=...".
void WriteLogLine(const base::LogEvent& event);

}  // namespace bilberry::transport
