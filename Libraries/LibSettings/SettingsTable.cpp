//===- SettingsTable.cpp - Fields of entry and agent settings -------------===//
//
// The field tables, and the checks that involve more than one field.
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

FieldTable commonFields(CommonSettings &Settings) {
  return {
      {"process.id",
       &Settings.Process.Id,
       Required,
       {},
       "Name of this process, unique in the system. An agent's is the id of "
       "its VM in the platform's list."},
      {"process.zone",
       &Settings.Process.Zone,
       Required,
       {},
       "Availability zone of this VM."},
      {"process.region",
       &Settings.Process.Region,
       Required,
       {},
       "Region of this VM."},
      {"platform.address",
       &Settings.Platform.Address,
       Required,
       {},
       "Address of the platform's table service, object store and VM list."},
      {"platform.timeout",
       &Settings.Platform.Timeout,
       Optional,
       {10, Minute},
       "Timeout of a call to the platform; for large responses, the longest "
       "pause while receiving."},
      {"platform.pollInterval",
       &Settings.Platform.PollInterval,
       Optional,
       {50, Minute},
       "Mean time between reads of the latest configuration revision."},
      {"platform.vmListInterval",
       &Settings.Platform.VmListInterval,
       Optional,
       {50, Minute},
       "Mean time between reads of the VM list."},
      {"log.format",
       &Settings.Log.Format,
       Optional,
       {},
       "Format of log lines."},
      {"log.level",
       &Settings.Log.Level,
       Optional,
       {},
       "Lowest level that is logged."},
      {"threads.http",
       &Settings.Threads.Http,
       Optional,
       {1, 256},
       "Threads of HTTP servers and clients."},
      {"threads.wire",
       &Settings.Threads.Wire,
       Optional,
       {1, 64},
       "I/O threads for streams between figlift processes."},
      {"wire.connectTimeout",
       &Settings.Wire.ConnectTimeout,
       Optional,
       {10, Minute},
       "Timeout for connecting to another process."},
      {"wire.heartbeatInterval",
       &Settings.Wire.HeartbeatInterval,
       Optional,
       {10, Minute},
       "Time without received data after which a connection is probed."},
      {"wire.heartbeatTimeout",
       &Settings.Wire.HeartbeatTimeout,
       Optional,
       {20, 5 * Minute},
       "Time without a response to a probe after which a connection is "
       "closed. Must be "
       "greater than wire.heartbeatInterval."},
      {"drain.timeout",
       &Settings.Drain.Timeout,
       Optional,
       {0, Hour},
       "How long a graceful shutdown waits for requests in flight."},
      {"timeline.events",
       &Settings.TimelineEvents,
       Optional,
       {1, 1'000'000},
       "Number of events kept for the timeline."},
  };
}

void append(FieldTable &Destination, FieldTable Rows) {
  Destination.insert(Destination.end(), Rows.begin(), Rows.end());
}

auto invalid(std::string Message, std::string Field) {
  return failure(ResultCode::SettingsInvalid, std::move(Message),
                 std::move(Field));
}

/// Checks that one duration is greater than another, or equal if allowed.
Result<void> checkOrder(std::string_view LowerPath, milliseconds Lower,
                        std::string_view UpperPath, milliseconds Upper,
                        bool MayEqual) {
  if (Lower < Upper || (MayEqual && Lower == Upper))
    return success();
  return invalid("found " + toString(Upper) + "; expected " +
                     (MayEqual ? "at least " : "more than ") +
                     std::string(LowerPath) + ", which is " + toString(Lower),
                 std::string(UpperPath));
}

Result<void> checkCommon(const CommonSettings &Parsed) {
  return checkOrder("wire.heartbeatInterval", Parsed.Wire.HeartbeatInterval,
                    "wire.heartbeatTimeout", Parsed.Wire.HeartbeatTimeout,
                    false);
}

/// Checks that a name is in a list.
Result<void> checkName(std::string_view Path, const std::string &Value,
                       std::span<const std::string_view> Allowed) {
  if (std::ranges::find(Allowed, Value) != Allowed.end())
    return success();
  std::string Message = "found \"" + Value + "\"; expected one of";
  for (std::string_view Name : Allowed)
    Message += " \"" + std::string(Name) + "\"";
  return invalid(std::move(Message), std::string(Path));
}

Result<void> check(const EntrySettings &Parsed) {
  FIGLIFT_TRY(checkCommon(Parsed));
  FIGLIFT_TRY(
      checkName("policy.routing", Parsed.Policy.Routing, RoutingPolicies));
  FIGLIFT_TRY(checkName("policy.roles", Parsed.Policy.Roles, RolePolicies));
  return checkOrder("lease.margin", Parsed.Lease.Margin, "lease.duration",
                    Parsed.Lease.Duration, false);
}

Result<void> check(const AgentSettings &Parsed) {
  FIGLIFT_TRY(checkCommon(Parsed));
  return checkOrder("limits.keyAheadMaximum", Parsed.Limits.KeyAheadMaximum,
                    "limits.keyTimeMargin", Parsed.Limits.KeyTimeMargin, true);
}

template <typename Settings> Result<Settings> parse(std::string_view Json) {
  Settings Parsed;
  FIGLIFT_TRY(readFields(fieldTable(Parsed), Json));
  FIGLIFT_TRY(check(Parsed));
  return Parsed;
}

/// Takes a copy because the field table refers to a mutable object.
template <typename Settings> std::string print(Settings Active) {
  return printFields(fieldTable(Active));
}

template <typename Settings> std::string document() {
  Settings Defaults;
  return describeFields(fieldTable(Defaults));
}

} // namespace

FieldTable fieldTable(EntrySettings &Settings) {
  FieldTable Rows = commonFields(Settings);
  append(
      Rows,
      {{"listen.callers",
        &Settings.Listen.Callers,
        Required,
        {},
        "Address for HTTP requests of callers and operators, health, metrics "
        "and the timeline."},
       {"listen.peer",
        &Settings.Listen.Peer,
        Required,
        {},
        "Address for streams of other figlift processes."},
       {"limits.requestsInFlight",
        &Settings.Limits.RequestsInFlight,
        Optional,
        {1, 1'000'000},
        "Requests that may be in flight at once; more are refused."},
       {"limits.requestBytes",
        &Settings.Limits.RequestBytes,
        Optional,
        {KiB, 64 * MiB},
        "Largest body of a request."},
       {"limits.targetsPerBackEnd",
        &Settings.Limits.TargetsPerBackEnd,
        Optional,
        {1, 1024},
        "Agents per back end to which this entry keeps streams open."},
       {"limits.attemptsPerRequest",
        &Settings.Limits.AttemptsPerRequest,
        Optional,
        {1, 16},
        "Attempts per request, including the first."},
       {"limits.retryPercent",
        &Settings.Limits.RetryPercent,
        Optional,
        {0, 100},
        "Retries allowed per hundred first attempts."},
       {"limits.defaultDeadline",
        &Settings.Limits.DefaultDeadline,
        Optional,
        {10, Hour},
        "Deadline of a request that specifies none."},
       {"limits.isolationBound",
        &Settings.Limits.IsolationBound,
        Optional,
        {100, 10 * Minute},
        "A process that cannot reach the platform or any peer for this time "
        "accepts no new work."},
       {"lease.duration",
        &Settings.Lease.Duration,
        Optional,
        {100, 10 * Minute},
        "Duration of a planner's lease without renewal."},
       {"lease.margin",
        &Settings.Lease.Margin,
        Optional,
        {10, 5 * Minute},
        "Time before the end of its lease at which a planner stops. Must be "
        "less than "
        "lease.duration."},
       {"policy.routing",
        &Settings.Policy.Routing,
        Optional,
        {},
        "Routing policy: \"figlift\", or for comparison one of the baselines "
        "\"random\", \"round-robin\", \"least-loaded\", or figlift's policy "
        "with one mechanism disabled: \"without-prefix\", "
        "\"without-in-flight\", "
        "\"without-refusal\", \"without-classes\"."},
       {"policy.roles",
        &Settings.Policy.Roles,
        Optional,
        {},
        "Role planning policy: \"figlift\", or for comparison one of the "
        "baselines \"static\" and \"threshold\"."},
       {"peers",
        &Settings.Peers,
        Optional,
        {},
        "Other entries that provide the configuration when the platform is "
        "unavailable at the start."}});
  return Rows;
}

FieldTable fieldTable(AgentSettings &Settings) {
  FieldTable Rows = commonFields(Settings);
  append(
      Rows,
      {{"listen.peer",
        &Settings.Listen.Peer,
        Required,
        {},
        "Address for streams of other figlift processes. The port is fixed, "
        "so that a second agent for the target fails to bind it."},
       {"listen.admin",
        &Settings.Listen.Admin,
        Required,
        {},
        "Address for HTTP requests for health, metrics, the timeline and the "
        "state."},
       {"target.address",
        &Settings.Target.Address,
        Required,
        {},
        "Address of the engine or service of this agent."},
       {"target.type",
        &Settings.Target.Type,
        Required,
        {},
        "Type of the target."},
       {"target.backEnd",
        &Settings.Target.BackEnd,
        Required,
        {},
        "Name of the back end that the target belongs to."},
       {"target.timeout",
        &Settings.Target.Timeout,
        Optional,
        {10, Hour},
        "Longest time without data from the target during a request."},
       {"target.loadInterval",
        &Settings.Target.LoadInterval,
        Optional,
        {10, Minute},
        "Time between reads of the target's load and cache events."},
       {"limits.requestsInFlight",
        &Settings.Limits.RequestsInFlight,
        Optional,
        {1, 1'000'000},
        "Requests that may be in flight at once; more are refused."},
       {"limits.requestBytes",
        &Settings.Limits.RequestBytes,
        Optional,
        {KiB, 64 * MiB},
        "Largest body of a request."},
       {"limits.heldAnswerBytes",
        &Settings.Limits.HeldAnswerBytes,
        Optional,
        {0, 4 * GiB},
        "Memory for responses that a caller may resume."},
       {"limits.heldAnswerTime",
        &Settings.Limits.HeldAnswerTime,
        Optional,
        {0, Hour},
        "How long a complete response is held."},
       {"limits.claimRetention",
        &Settings.Limits.ClaimRetention,
        Optional,
        {Second, 24 * Hour},
        "How long an idempotency key and its response are kept."},
       {"limits.claims",
        &Settings.Limits.Claims,
        Optional,
        {1, 10'000'000},
        "Number of idempotency keys kept; when all are in use, requests "
        "with a new key are refused."},
       {"limits.keyAheadMaximum",
        &Settings.Limits.KeyAheadMaximum,
        Optional,
        {0, Minute},
        "A key created further ahead of this machine's clock is refused."},
       {"limits.keyTimeMargin",
        &Settings.Limits.KeyTimeMargin,
        Optional,
        {0, 10 * Minute},
        "After a takeover without claims, the outcome of keys created up to "
        "this time after it is unknown. Must be at least "
        "limits.keyAheadMaximum plus the clock skew."},
       {"limits.isolationBound",
        &Settings.Limits.IsolationBound,
        Optional,
        {100, 10 * Minute},
        "A process that cannot reach the platform or any peer for this time "
        "accepts no new work."}});
  return Rows;
}

Result<EntrySettings> parseEntrySettings(std::string_view Json) {
  return parse<EntrySettings>(Json);
}

Result<AgentSettings> parseAgentSettings(std::string_view Json) {
  return parse<AgentSettings>(Json);
}

std::string printSettings(const EntrySettings &Active) { return print(Active); }

std::string printSettings(const AgentSettings &Active) { return print(Active); }

std::string settingsPage() {
  return "# Settings\n\n"
         "Each process reads one file, named by `--settings`, in JSON with "
         "`//` and `/* */` comments.\nTimes are whole numbers with a unit "
         "(`ms`, `s`, `m`, `h`), sizes with `B`, `KiB`, `MiB` or `GiB`.\n"
         "Addresses are IPv4 numbers with a port. An unknown key, a key that "
         "occurs twice, a wrong type and a value\nout of its range are errors "
         "that name the line or field. `--check-config` checks a file and "
         "exits;\n`--print-config` prints the active settings, including "
         "defaults.\n\nA dot in a name stands for nesting: `log.level` is "
         "`{\"log\": {\"level\": ...}}`.\n\n"
         "## figlift-entry\n\n" +
         document<EntrySettings>() + "\n## figlift-agent\n\n" +
         document<AgentSettings>() + "\n## figlift-gateway\n\n" +
         document<GatewaySettings>();
}

} // namespace figlift::settings
