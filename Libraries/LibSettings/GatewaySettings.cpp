//===- GatewaySettings.cpp - The fields of the gateway's settings ---------===//
//
// The rows that read, print and document them.
//
//===----------------------------------------------------------------------===//

#include "LibSettings/GatewaySettings.h"

#include "LibSettings/FieldTable.h"

namespace figlift::settings {

using enum Presence;

FieldTable fieldsOf(GatewaySettings &Of) {
  return {
      {"process.id",
       &Of.Process.Id,
       Required,
       {},
       "Name of this process, unique in the system."},
      {"process.zone",
       &Of.Process.Zone,
       Required,
       {},
       "Availability zone of this VM."},
      {"listen.callers",
       &Of.Listen.Callers,
       Required,
       {},
       "Where callers connect."},
      {"listen.ready",
       &Of.Listen.Ready,
       Required,
       {},
       "Where the platform asks whether this process takes new connections."},
      {"listen.metrics",
       &Of.Listen.Metrics,
       Optional,
       {},
       "Prometheus metrics, over HTTP."},
      {"listen.peers",
       &Of.Listen.Peers,
       Required,
       {},
       "UDP address at which other gateways reach this one."},
      {"store.address",
       &Of.Store,
       Required,
       {},
       "The platform's metadata store."},
      {"fleet.starts",
       &Of.Fleet.Starts,
       Optional,
       {},
       "Whether the whole fleet starts for the first time, so that no earlier "
       "process has spent any of the retry budget."},
      {"retry.ratio",
       &Of.Retry.Ratio,
       Optional,
       {0, 1},
       "Repeats that each request adds to the fleet's budget."},
      {"retry.base",
       &Of.Retry.Base,
       Optional,
       {0, 100000},
       "Repeats in each window that the whole fleet has besides."},
      {"retry.windowSeconds",
       &Of.Retry.Window,
       Optional,
       {1, 600},
       "Sliding window of the retry budget."},
      {"drain.graceSeconds",
       &Of.Drain.Grace,
       Optional,
       {1, 600},
       "From SIGTERM to the moment at which the platform kills the process."},
      {"orders.leaseMilliseconds",
       &Of.Orders.Lease,
       Optional,
       {500, 60000},
       "How long an engine must have heard nothing from one giver of orders "
       "before another may give one."},
      {"log.level", &Of.Log.Level, Optional, {}, "Least severe level logged."},
      {"log.plainLinesPerSecond",
       &Of.Log.PlainLinesPerSecond,
       Optional,
       {0, 100000},
       "Lines a second for requests that went as planned; refusals, failures "
       "and late answers have ten times as many."}};
}

Result<GatewaySettings> parseGatewaySettings(std::string_view Json) {
  GatewaySettings Read;
  FIGLIFT_TRY(readFields(fieldsOf(Read), Json));
  return Read;
}

std::string printSettings(const GatewaySettings &InForce) {
  GatewaySettings Copy = InForce;
  return printFields(fieldsOf(Copy));
}

} // namespace figlift::settings
