//===- Settings.h - Settings of entries and agents --------------*- C++ -*-===//
//
// Typed settings, read from JSON with comments at the start of a process. The
// initializers here are the defaults. The tables in SettingsTable.cpp define
// the meaning and range of each field and whether it is required;
// docs/SETTINGS.md is generated from them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"
#include "LibLog/Log.h"
#include "LibSettings/Units.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::settings {

using std::chrono::milliseconds;

struct ProcessSettings {
  std::string Id;
  std::string Zone;
  std::string Region;
};

struct PlatformSettings {
  Endpoint Address;
  milliseconds Timeout{500};
  milliseconds PollInterval{1000};
  milliseconds VmListInterval{1000};
};

struct LogSettings {
  log::Format Format = log::Format::Json;
  log::Level Level = log::Level::Info;
};

struct ThreadSettings {
  unsigned Http = 8;
  unsigned Wire = 2;
};

struct WireSettings {
  milliseconds ConnectTimeout{1000};
  milliseconds HeartbeatInterval{1000};
  /// Greater than HeartbeatInterval.
  milliseconds HeartbeatTimeout{2000};
};

struct DrainSettings {
  milliseconds Timeout{60000};
};

/// Settings common to entries and agents.
struct CommonSettings {
  ProcessSettings Process;
  PlatformSettings Platform;
  LogSettings Log;
  ThreadSettings Threads;
  WireSettings Wire;
  DrainSettings Drain;
  unsigned TimelineEvents = 8192;
};

struct EntryListen {
  Endpoint Callers;
  Endpoint Peer;
};

struct EntryLimits {
  unsigned RequestsInFlight = 2000;
  ByteSize RequestBytes{8u << 20};
  unsigned TargetsPerBackEnd = 8;
  unsigned AttemptsPerRequest = 3;
  unsigned RetryPercent = 10;
  milliseconds DefaultDeadline{30000};
  milliseconds IsolationBound{5000};
};

struct LeaseSettings {
  milliseconds Duration{3000};
  /// Less than Duration.
  milliseconds Margin{1000};
};

/// Policies, for measurements only. Deployments keep the defaults.
struct PolicySettings {
  /// One of RoutingPolicies.
  std::string Routing = "figlift";
  /// One of RolePolicies.
  std::string Roles = "figlift";
};

/// Routing policies: figlift's, the baselines, and figlift's with one mechanism
/// disabled.
inline constexpr std::array<std::string_view, 8> RoutingPolicies = {
    "figlift",         "random",         "round-robin",
    "least-loaded",    "without-prefix", "without-in-flight",
    "without-refusal", "without-classes"};
/// Role planning policies.
inline constexpr std::array<std::string_view, 3> RolePolicies = {
    "figlift", "static", "threshold"};

struct EntrySettings : CommonSettings {
  EntryListen Listen;
  EntryLimits Limits;
  LeaseSettings Lease;
  PolicySettings Policy;
  std::vector<Endpoint> Peers;
};

struct AgentListen {
  Endpoint Peer;
  Endpoint Admin;
};

enum class TargetType { Engine, Service };

struct TargetSettings {
  Endpoint Address;
  TargetType Type = TargetType::Engine;
  std::string BackEnd;
  milliseconds Timeout{30000};
  milliseconds LoadInterval{200};
};

struct AgentLimits {
  unsigned RequestsInFlight = 512;
  ByteSize RequestBytes{8u << 20};
  ByteSize HeldAnswerBytes{32u << 20};
  milliseconds HeldAnswerTime{30000};
  milliseconds ClaimRetention{600000};
  unsigned Claims = 100000;
  milliseconds KeyAheadMaximum{2000};
  /// At least KeyAheadMaximum.
  milliseconds KeyTimeMargin{4000};
  milliseconds IsolationBound{5000};
};

struct AgentSettings : CommonSettings {
  AgentListen Listen;
  TargetSettings Target;
  AgentLimits Limits;
};

/// Parse the text of a settings file. They fail with SettingsInvalid; the error
/// names the line or the field, the value found and the value expected.
Result<EntrySettings> parseEntrySettings(std::string_view Json);
Result<AgentSettings> parseAgentSettings(std::string_view Json);

/// The settings, including defaults, as JSON that can be parsed again.
std::string printSettings(const EntrySettings &Active);
std::string printSettings(const AgentSettings &Active);

/// The page docs/SETTINGS.md.
std::string settingsPage();

} // namespace figlift::settings
