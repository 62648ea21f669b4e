//===- Experiment.h - What a load run sends ---------------------*- C++ -*-===//
//
// Typed form of an experiment file (JSON with comments): kinds of requests and
// the phases in which their rates change. The same file and seed always give
// the same requests at the same offsets.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figlift::load {

/// Inclusive bounds of a uniformly drawn number.
struct Range {
  uint32_t Minimum = 1;
  uint32_t Maximum = 1;
};

/// A prompt that is answered with tokens.
struct CompletionWork {
  std::string Model;
  Range PromptTokens;
  Range OutputTokens;
  /// Leading tokens that all prompts of one prefix share.
  uint32_t SharedPrefixTokens = 0;
  /// How many different shared prefixes there are.
  uint32_t Prefixes = 1;
};

/// A call of a plain service.
struct ServiceWork {
  std::string Service;
  std::string Path;
  /// Whether each call carries a new idempotency key.
  bool Keyed = false;
};

struct Workload {
  std::variant<CompletionWork, ServiceWork> Work;
  std::chrono::milliseconds Deadline{30000};
  /// Drawn evenly; empty sends no workspace.
  std::vector<std::string> Workspaces;
};

struct Phase {
  std::chrono::milliseconds Duration{1000};
  /// Requests a second of each workload at the begin and the end; the rate
  /// goes in a straight line between them.
  std::map<std::string, double> Rates;
  std::map<std::string, double> EndRates;
};

struct Experiment {
  uint64_t Seed = 1;
  std::map<std::string, Workload> Workloads;
  std::vector<Phase> Phases;
};

/// Error: InvalidInput with the field, what was found and what is allowed.
Result<Experiment> parseExperiment(std::string_view Json);

} // namespace figlift::load
