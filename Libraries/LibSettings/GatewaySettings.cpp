//===- GatewaySettings.cpp - Fields of the gateway's settings -------------===//
//
// The field table used to read, print and document the settings.
//
//===----------------------------------------------------------------------===//

#include "LibSettings/GatewaySettings.h"

#include "LibSettings/FieldTable.h"

#include <algorithm>

namespace figlift::settings {

using enum Presence;

FieldTable fieldTable(GatewaySettings &Settings) {
  return {
      {"process.id",
       &Settings.Process.Id,
       Required,
       {},
       "Name of this process, unique in the system."},
      {"process.zone",
       &Settings.Process.Zone,
       Required,
       {},
       "Availability zone of this VM."},
      {"process.memoryMegabytes",
       &Settings.Process.MemoryMegabytes,
       Optional,
       {16, 1000000},
       "Memory above which the platform ends this process. Callers and servers "
       "can make it hold an eighth of it."},
      {"process.descriptors",
       &Settings.Process.Descriptors,
       Optional,
       {64, 1048576},
       "File descriptors that the platform lets this process have open, if "
       "that "
       "is less than its RLIMIT_NOFILE. Callers have a share of them."},
      {"listen.callers",
       &Settings.Listen.Callers,
       Required,
       {},
       "Address for callers' HTTP requests."},
      {"listen.ready",
       &Settings.Listen.Ready,
       Required,
       {},
       "Address of the readiness probe: whether this process accepts new "
       "connections."},
      {"listen.metrics",
       &Settings.Listen.Metrics,
       Optional,
       {},
       "Address of the Prometheus metrics over HTTP."},
      {"listen.peers",
       &Settings.Listen.Peers,
       Required,
       {},
       "UDP address for messages from other gateways."},
      {"store.address",
       &Settings.Store,
       Required,
       {},
       "Address of the platform's metadata store."},
      {"fleet.starts",
       &Settings.Fleet.Starts,
       Optional,
       {},
       "Whether the whole fleet starts for the first time, so that no earlier "
       "process has used any of the retry budget."},
      {"retry.ratio",
       &Settings.Retry.Ratio,
       Optional,
       {0, 1},
       "Retries that each request adds to the fleet's retry budget."},
      {"retry.base",
       &Settings.Retry.Base,
       Optional,
       {0, 100000},
       "Additional retries of the whole fleet per window."},
      {"retry.windowSeconds",
       &Settings.Retry.Window,
       Optional,
       {1, 600},
       "Sliding window of the retry budget."},
      {"drain.graceSeconds",
       &Settings.Drain.Grace,
       Optional,
       {1, 600},
       "Time from SIGTERM until the platform kills the process."},
      {"orders.leaseMilliseconds",
       &Settings.Orders.Lease,
       Optional,
       {500, 60000},
       "Time without orders from one gateway after which an engine accepts "
       "orders from another."},
      {"duties.kinds",
       &Settings.Duties.Kinds,
       Optional,
       {},
       "Comma-separated duties that one gateway at a time carries out: "
       "\"usage\" reports each tenant's requests. Others are ignored."},
      {"duties.address",
       &Settings.Duties.Address,
       Optional,
       {},
       "Address that receives the calls of the duties."},
      {"duties.usageWindowSeconds",
       &Settings.Duties.UsageWindow,
       Optional,
       {1, 3600},
       "Length of the windows in which usage is reported."},
      {"duties.usageDueSeconds",
       &Settings.Duties.UsageDue,
       Optional,
       {1, 3600},
       "Time from the end of a window until its report is due."},
      {"log.level",
       &Settings.Log.Level,
       Optional,
       {},
       "Least severe level logged."},
      {"log.plainLinesPerSecond",
       &Settings.Log.PlainLinesPerSecond,
       Optional,
       {0, 100000},
       "Log lines per second for requests that ended as planned; refusals, "
       "failures and late responses have ten times as many."}};
}

bool GatewayDuties::includes(std::string_view Name) const {
  std::string_view Rest = Kinds;
  while (!Rest.empty()) {
    const size_t Comma = std::min(Rest.find(','), Rest.size());
    if (Rest.substr(0, Comma) == Name)
      return true;
    Rest.remove_prefix(std::min(Comma + 1, Rest.size()));
  }
  return false;
}

Result<GatewaySettings> parseGatewaySettings(std::string_view Json) {
  GatewaySettings Parsed;
  FIGLIFT_TRY(readFields(fieldTable(Parsed), Json));
  return Parsed;
}

std::string printSettings(const GatewaySettings &Settings) {
  GatewaySettings Copy = Settings;
  return printFields(fieldTable(Copy));
}

} // namespace figlift::settings
