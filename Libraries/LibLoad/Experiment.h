//===- Experiment.h - Definition of a load experiment -----------*- C++ -*-===//
//
// Typed form of an experiment file (JSON with comments): workloads, and phases
// that define their request rates over time. The same file and seed always
// generate the same requests at the same offsets.
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

/// Inclusive bounds of a uniformly distributed random number.
struct Range {
  uint32_t Minimum = 1;
  uint32_t Maximum = 1;
};

/// A completion request whose response is a stream of tokens.
struct CompletionWork {
  std::string Model;
  Range PromptTokens;
  Range OutputTokens;
  /// Number of leading tokens shared by all prompts with the same prefix.
  uint32_t SharedPrefixTokens = 0;
  /// Number of different shared prefixes.
  uint32_t Prefixes = 1;
};

/// A call of a service.
struct ServiceWork {
  std::string Service;
  std::string Path;
  /// Whether each call carries a new idempotency key.
  bool Keyed = false;
};

struct Workload {
  std::variant<CompletionWork, ServiceWork> Work;
  std::chrono::milliseconds Deadline{30000};
  /// Chosen uniformly at random; if empty, requests carry no workspace.
  std::vector<std::string> Workspaces;
};

struct Phase {
  std::chrono::milliseconds Duration{1000};
  /// Requests per second of each workload at the start and the end of the
  /// phase; the rate is interpolated linearly between them.
  std::map<std::string, double> Rates;
  std::map<std::string, double> EndRates;
};

struct Experiment {
  uint64_t Seed = 1;
  std::map<std::string, Workload> Workloads;
  std::vector<Phase> Phases;
};

/// Fails with InvalidInput, the name of the field and the expected value.
Result<Experiment> parseExperiment(std::string_view Json);

} // namespace figlift::load
