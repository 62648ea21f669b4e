//===- GatewaySettings.h - Settings of figlift-gateway ----------*- C++ -*-===//
//
// What the gateway is told at its start. The platform fills these in from its
// own settings by a template (deploy/gateway-settings.json.in), whose numbers
// may have fractions; so bounds are plain numbers here, with the unit in their
// name.
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
};

struct GatewayListen {
  Endpoint Callers;
  Endpoint Ready;
  Endpoint Metrics{"0.0.0.0", 9464};
  /// UDP, for what gateways tell each other.
  Endpoint Peers;
};

struct GatewayFleet {
  /// The whole fleet starts for the first time.
  bool Starts = false;
};

struct GatewayRetry {
  double Ratio = 0.2;
  double Base = 50;
  PlainSeconds Window{10};
};

struct GatewayDrain {
  /// From SIGTERM to the kill.
  PlainSeconds Grace{8};
};

struct GatewayOrders {
  /// Holders of the authority over engines may not take turns faster.
  PlainMilliseconds Lease{3000};
};

struct GatewayLog {
  log::Level Level = log::Level::Info;
  /// Log lines a second of requests that ended as planned. Refusals, failures
  /// and late answers have ten times as many.
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
  GatewayLog Log;
};

/// Fails with SettingsInvalid; see parseEntrySettings().
Result<GatewaySettings> parseGatewaySettings(std::string_view Json);
std::string printSettings(const GatewaySettings &InForce);

} // namespace figlift::settings
