//===- Settings.h - Settings of entries and agents --------------*- C++ -*-===//
//
// Typed settings, read once at the start of a process from JSON with comments.
// The initialisers here are the defaults; what each field means, its range and
// whether it must be given stand in the table of SettingsTable.cpp, which also
// makes docs/SETTINGS.md.
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

/// What every process has.
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

/// Arms of a measurement. Deployments keep the defaults.
struct PolicySettings {
  /// One of RoutingArms.
  std::string Routing = "figlift";
  /// One of RoleArms.
  std::string Roles = "figlift";
};

/// Ways to choose a target: figlift's, its baselines, and figlift's with one
/// mechanism off.
inline constexpr std::array<std::string_view, 8> RoutingArms = {
    "figlift",         "random",         "round-robin",
    "least-loaded",    "without-prefix", "without-in-flight",
    "without-refusal", "without-classes"};
/// Ways to plan roles.
inline constexpr std::array<std::string_view, 3> RoleArms = {
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

/// Read settings from the text of a file. All fail with SettingsInvalid; the
/// error names the line or the field, what was found and what is allowed.
Result<EntrySettings> parseEntrySettings(std::string_view Json);
Result<AgentSettings> parseAgentSettings(std::string_view Json);

/// What is in force, defaults included, as JSON that can be read again.
std::string printSettings(const EntrySettings &InForce);
std::string printSettings(const AgentSettings &InForce);

/// The page docs/SETTINGS.md.
std::string settingsPage();

} // namespace figlift::settings
