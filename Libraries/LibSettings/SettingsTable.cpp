//===- SettingsTable.cpp - The fields of all settings ---------------------===//
//
// The rows, and the few checks that need more than one field.
//
//===----------------------------------------------------------------------===//

#include "LibSettings/FieldTable.h"
#include "LibSettings/Settings.h"

#include <algorithm>
#include <span>

namespace figlift::settings {

namespace {

constexpr uint64_t Second = 1000;
constexpr uint64_t Minute = 60 * Second;
constexpr uint64_t Hour = 60 * Minute;
constexpr uint64_t KiB = 1u << 10;
constexpr uint64_t MiB = 1u << 20;
constexpr uint64_t GiB = 1u << 30;

using enum Presence;

FieldTable commonFields(CommonSettings &Of) {
  return {
      {"process.id",
       &Of.Process.Id,
       Required,
       {},
       "Name of this process, unique in the system. An agent's is the id of "
       "its VM in the platform's list."},
      {"process.zone",
       &Of.Process.Zone,
       Required,
       {},
       "Availability zone of this VM."},
      {"process.region",
       &Of.Process.Region,
       Required,
       {},
       "Region of this VM."},
      {"platform.address",
       &Of.Platform.Address,
       Required,
       {},
       "The platform's table service, object store and VM list."},
      {"platform.timeout",
       &Of.Platform.Timeout,
       Optional,
       {10, Minute},
       "How long one call to the platform may take; a large answer may pause "
       "for as long."},
      {"platform.pollInterval",
       &Of.Platform.PollInterval,
       Optional,
       {50, Minute},
       "Mean time between reads of the newest configuration revision."},
      {"platform.vmListInterval",
       &Of.Platform.VmListInterval,
       Optional,
       {50, Minute},
       "Mean time between reads of the VM list."},
      {"log.format", &Of.Log.Format, Optional, {}, "Form of log lines."},
      {"log.level",
       &Of.Log.Level,
       Optional,
       {},
       "Least severe lines that are written."},
      {"threads.http",
       &Of.Threads.Http,
       Optional,
       {1, 256},
       "Threads of HTTP servers and clients."},
      {"threads.wire",
       &Of.Threads.Wire,
       Optional,
       {1, 64},
       "Threads of the streams between figlift processes."},
      {"wire.connectTimeout",
       &Of.Wire.ConnectTimeout,
       Optional,
       {10, Minute},
       "How long a connection to another process may take."},
      {"wire.heartbeatInterval",
       &Of.Wire.HeartbeatInterval,
       Optional,
       {10, Minute},
       "A silent connection is probed after this time."},
      {"wire.heartbeatTimeout",
       &Of.Wire.HeartbeatTimeout,
       Optional,
       {20, 5 * Minute},
       "A connection without an answer for this time is given up. Must be "
       "greater than wire.heartbeatInterval."},
      {"drain.timeout",
       &Of.Drain.Timeout,
       Optional,
       {0, Hour},
       "How long a graceful shutdown waits for requests in flight."},
      {"timeline.events",
       &Of.TimelineEvents,
       Optional,
       {1, 1'000'000},
       "Events that are kept for the time line."},
  };
}

void append(FieldTable &To, FieldTable More) {
  To.insert(To.end(), More.begin(), More.end());
}

auto invalid(std::string Message, std::string Field) {
  return failure(ResultCode::SettingsInvalid, std::move(Message),
                 std::move(Field));
}

/// Checks that one duration exceeds another, or also equals it.
Result<void> checkOrder(std::string_view LowerPath, milliseconds Lower,
                        std::string_view UpperPath, milliseconds Upper,
                        bool MayEqual) {
  if (Lower < Upper || (MayEqual && Lower == Upper))
    return success();
  return invalid("found " + toString(Upper) + "; allowed is " +
                     (MayEqual ? "at least " : "more than ") +
                     std::string(LowerPath) + ", which is " + toString(Lower),
                 std::string(UpperPath));
}

Result<void> checkCommon(const CommonSettings &Read) {
  return checkOrder("wire.heartbeatInterval", Read.Wire.HeartbeatInterval,
                    "wire.heartbeatTimeout", Read.Wire.HeartbeatTimeout, false);
}

/// Checks that a name is one of those allowed.
Result<void> checkName(std::string_view Path, const std::string &Found,
                       std::span<const std::string_view> Allowed) {
  if (std::ranges::find(Allowed, Found) != Allowed.end())
    return success();
  std::string Message = "found \"" + Found + "\"; allowed are";
  for (std::string_view Name : Allowed)
    Message += " \"" + std::string(Name) + "\"";
  return invalid(std::move(Message), std::string(Path));
}

Result<void> check(const EntrySettings &Read) {
  FIGLIFT_TRY(checkCommon(Read));
  FIGLIFT_TRY(checkName("policy.routing", Read.Policy.Routing, RoutingArms));
  FIGLIFT_TRY(checkName("policy.roles", Read.Policy.Roles, RoleArms));
  return checkOrder("lease.margin", Read.Lease.Margin, "lease.duration",
                    Read.Lease.Duration, false);
}

Result<void> check(const AgentSettings &Read) {
  FIGLIFT_TRY(checkCommon(Read));
  return checkOrder("limits.keyAheadMaximum", Read.Limits.KeyAheadMaximum,
                    "limits.keyTimeMargin", Read.Limits.KeyTimeMargin, true);
}

template <typename Settings> Result<Settings> parse(std::string_view Json) {
  Settings Read;
  FIGLIFT_TRY(readFields(fieldsOf(Read), Json));
  FIGLIFT_TRY(check(Read));
  return Read;
}

/// fieldsOf() points into a settings object that it may change, so it is
/// given a copy.
template <typename Settings> std::string print(Settings InForce) {
  return printFields(fieldsOf(InForce));
}

template <typename Settings> std::string document() {
  Settings Defaults;
  return documentFields(fieldsOf(Defaults));
}

} // namespace

FieldTable fieldsOf(EntrySettings &Of) {
  FieldTable Rows = commonFields(Of);
  append(Rows,
         {{"listen.callers",
           &Of.Listen.Callers,
           Required,
           {},
           "HTTP for callers, operators, health, metrics and the time line."},
          {"listen.peer",
           &Of.Listen.Peer,
           Required,
           {},
           "Streams of other figlift processes."},
          {"limits.requestsInFlight",
           &Of.Limits.RequestsInFlight,
           Optional,
           {1, 1'000'000},
           "Requests that may be in flight at once; more are refused."},
          {"limits.requestBytes",
           &Of.Limits.RequestBytes,
           Optional,
           {KiB, 64 * MiB},
           "Largest body of a request."},
          {"limits.targetsPerBackEnd",
           &Of.Limits.TargetsPerBackEnd,
           Optional,
           {1, 1024},
           "Agents of one back end that this entry keeps streams to."},
          {"limits.attemptsPerRequest",
           &Of.Limits.AttemptsPerRequest,
           Optional,
           {1, 16},
           "Attempts for one request, the first included."},
          {"limits.retryPercent",
           &Of.Limits.RetryPercent,
           Optional,
           {0, 100},
           "Retries allowed for each hundred first attempts."},
          {"limits.defaultDeadline",
           &Of.Limits.DefaultDeadline,
           Optional,
           {10, Hour},
           "Deadline of a request that names none."},
          {"limits.isolationBound",
           &Of.Limits.IsolationBound,
           Optional,
           {100, 10 * Minute},
           "A process that reaches neither the platform nor any peer for this "
           "time takes no new work."},
          {"lease.duration",
           &Of.Lease.Duration,
           Optional,
           {100, 10 * Minute},
           "How long a planner's lease lasts without a renewal."},
          {"lease.margin",
           &Of.Lease.Margin,
           Optional,
           {10, 5 * Minute},
           "How long before its lease ends a planner stops. Must be less than "
           "lease.duration."},
          {"policy.routing",
           &Of.Policy.Routing,
           Optional,
           {},
           "How targets are chosen: \"figlift\", or an arm of a measurement: "
           "\"random\", \"round-robin\", \"least-loaded\", or figlift's with "
           "one mechanism off: \"without-prefix\", \"without-in-flight\", "
           "\"without-refusal\", \"without-classes\"."},
          {"policy.roles",
           &Of.Policy.Roles,
           Optional,
           {},
           "How roles are planned: \"figlift\", or an arm of a measurement: "
           "\"static\" or \"threshold\"."},
          {"peers",
           &Of.Peers,
           Optional,
           {},
           "Other entries to fetch the configuration from when the platform "
           "is out at the start."}});
  return Rows;
}

FieldTable fieldsOf(AgentSettings &Of) {
  FieldTable Rows = commonFields(Of);
  append(Rows,
         {{"listen.peer",
           &Of.Listen.Peer,
           Required,
           {},
           "Streams of other figlift processes. A fixed port: a second agent "
           "in the slot must fail to bind it."},
          {"listen.admin",
           &Of.Listen.Admin,
           Required,
           {},
           "HTTP for health, metrics, the time line and the state."},
          {"target.address",
           &Of.Target.Address,
           Required,
           {},
           "The engine or service beside this agent."},
          {"target.type", &Of.Target.Type, Required, {}, "What the target is."},
          {"target.backEnd",
           &Of.Target.BackEnd,
           Required,
           {},
           "Name of the back end that the target belongs to."},
          {"target.timeout",
           &Of.Target.Timeout,
           Optional,
           {10, Hour},
           "How long the target may send nothing during a request."},
          {"target.loadInterval",
           &Of.Target.LoadInterval,
           Optional,
           {10, Minute},
           "Time between reads of the target's load and cache events."},
          {"limits.requestsInFlight",
           &Of.Limits.RequestsInFlight,
           Optional,
           {1, 1'000'000},
           "Requests that may be in flight at once; more are refused."},
          {"limits.requestBytes",
           &Of.Limits.RequestBytes,
           Optional,
           {KiB, 64 * MiB},
           "Largest body of a request."},
          {"limits.heldAnswerBytes",
           &Of.Limits.HeldAnswerBytes,
           Optional,
           {0, 4 * GiB},
           "Memory for answers that a caller may resume."},
          {"limits.heldAnswerTime",
           &Of.Limits.HeldAnswerTime,
           Optional,
           {0, Hour},
           "How long an answer is held after its end."},
          {"limits.claimRetention",
           &Of.Limits.ClaimRetention,
           Optional,
           {Second, 24 * Hour},
           "How long an idempotency key and its answer are remembered."},
          {"limits.claims",
           &Of.Limits.Claims,
           Optional,
           {1, 10'000'000},
           "Idempotency keys that are remembered; when all are in use, calls "
           "with a new key are refused."},
          {"limits.keyAheadMaximum",
           &Of.Limits.KeyAheadMaximum,
           Optional,
           {0, Minute},
           "A key minted further ahead of this machine's clock is refused."},
          {"limits.keyTimeMargin",
           &Of.Limits.KeyTimeMargin,
           Optional,
           {0, 10 * Minute},
           "After a takeover without claims, keys minted up to this long after "
           "it have an unknown outcome. Must be at least "
           "limits.keyAheadMaximum plus the clocks' skew."},
          {"limits.isolationBound",
           &Of.Limits.IsolationBound,
           Optional,
           {100, 10 * Minute},
           "A process that reaches neither the platform nor any peer for this "
           "time takes no new work."}});
  return Rows;
}

Result<EntrySettings> parseEntrySettings(std::string_view Json) {
  return parse<EntrySettings>(Json);
}

Result<AgentSettings> parseAgentSettings(std::string_view Json) {
  return parse<AgentSettings>(Json);
}

std::string printSettings(const EntrySettings &InForce) {
  return print(InForce);
}

std::string printSettings(const AgentSettings &InForce) {
  return print(InForce);
}

std::string settingsPage() {
  return "# Settings\n\n"
         "Each process reads one file, named by `--settings`, in JSON with "
         "`//` and `/* */` comments.\nTimes are whole numbers with a unit "
         "(`ms`, `s`, `m`, `h`), sizes with `B`, `KiB`, `MiB` or `GiB`.\n"
         "Addresses are IPv4 numbers with a port. An unknown key, a key that "
         "stands twice, a wrong type and a value\nout of its range are errors "
         "that name the line or field. `--check-config` checks a file and "
         "exits;\n`--print-config` prints what is in force, defaults "
         "included.\n\nA dot in a name stands for nesting: `log.level` is "
         "`{\"log\": {\"level\": ...}}`.\n\n"
         "## figlift-entry\n\n" +
         document<EntrySettings>() + "\n## figlift-agent\n\n" +
         document<AgentSettings>() + "\n## figlift-gateway\n\n" +
         document<GatewaySettings>();
}

} // namespace figlift::settings
