//===- GatewaySettings.h - Settings of figlift-gateway ----------*- C++ -*-===//
//
// Settings read at the start of the gateway. The platform generates the file
// from its own settings with a template (deploy/gateway-settings.json.in). Its
// numbers may have fractions, so durations are plain numbers here, with the
// unit in the name of the field.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"
#include "LibLog/Log.h"

#include <chrono>
#include <string>
#include <string_view>

namespace figlift::settings {

using PlainSeconds = std::chrono::duration<double>;
using PlainMilliseconds = std::chrono::duration<double, std::milli>;

struct GatewayProcess {
  std::string Id;
  std::string Zone;
  /// Memory above which the platform ends the process.
  double MemoryMegabytes = 260;
  /// File descriptors that the platform lets the process have open.
  double Descriptors = 1048576;
};

struct GatewayListen {
  Endpoint Callers;
  Endpoint Ready;
  Endpoint Metrics{"0.0.0.0", 9464};
  /// UDP, for messages between gateways.
  Endpoint Peers;
};

struct GatewayFleet {
  /// Whether the whole fleet starts for the first time.
  bool Starts = false;
};

struct GatewayRetry {
  double Ratio = 0.2;
  double Base = 50;
  PlainSeconds Window{10};
};

struct GatewayDrain {
  /// Time from SIGTERM until the platform kills the process.
  PlainSeconds Grace{8};
};

struct GatewayOrders {
  /// Minimum time without orders from one gateway before another may send
  /// orders to an engine.
  PlainMilliseconds Lease{3000};
};

/// Calls to the platform that one gateway at a time makes for the fleet.
struct GatewayDuties {
  /// Comma-separated names; "none" if the platform assigns none.
  std::string Kinds = "none";
  Endpoint Address{"0.0.0.0", 0};
  /// Length of the windows in which usage is reported.
  PlainSeconds UsageWindow{5};
  /// A report is due this long after the end of its window.
  PlainSeconds UsageDue{10};

  bool includes(std::string_view Name) const;
};

struct GatewayLog {
  log::Level Level = log::Level::Info;
  /// Log lines per second for requests that ended as planned. Refusals,
  /// failures and late responses have ten times as many.
  unsigned PlainLinesPerSecond = 20;
};

struct GatewaySettings {
  GatewayProcess Process;
  GatewayListen Listen;
  Endpoint Store;
  GatewayFleet Fleet;
  GatewayRetry Retry;
  GatewayDrain Drain;
  GatewayOrders Orders;
  GatewayDuties Duties;
  GatewayLog Log;
};

/// Fails with SettingsInvalid; see parseEntrySettings().
Result<GatewaySettings> parseGatewaySettings(std::string_view Json);
std::string printSettings(const GatewaySettings &Active);

} // namespace figlift::settings
