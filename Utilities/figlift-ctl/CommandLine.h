//===- CommandLine.h - Command line of figlift-ctl --------------*- C++ -*-===//
//
// Parses the command line into typed commands.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figlift::control {

struct Apply {
  /// "-" is standard input.
  std::vector<std::string> Files;
};
struct Get {
  std::string Kind;
  std::string Name;
};
struct List {
  /// Empty: all kinds.
  std::string Kind;
};
struct Withdraw {
  std::string Kind;
  std::string Name;
};
enum class TargetAction { Drain, Undrain, Retire };
struct ChangeTarget {
  TargetAction Action = TargetAction::Drain;
  std::string Target;
};
struct Status {};
struct Watch {
  std::chrono::milliseconds Interval{1000};
  /// 0: until interrupted.
  unsigned Rounds = 0;
};
struct Explain {
  std::string Id;
};
/// Prints a text and exits successfully (--help, --version).
struct Print {
  std::string Text;
};

using Command = std::variant<Apply, Get, List, Withdraw, ChangeTarget, Status,
                             Watch, Explain, Print>;

struct Arguments {
  std::vector<Endpoint> Entries;
  bool JsonOutput = false;
  std::optional<uint64_t> IfVersion;
  /// How long to wait until the change is in force; if absent, does not wait.
  std::optional<std::chrono::milliseconds> Wait;
  /// Idempotency key of the operation: a change is made at most once per id.
  std::string OperationId;
  std::chrono::milliseconds Timeout{3000};
  Command RequestedCommand;
};

/// The error names the invalid option.
Result<Arguments> parseCommandLine(int Count, const char *const *Values);

} // namespace figlift::control
