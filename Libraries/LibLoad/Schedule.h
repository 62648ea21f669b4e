//===- Schedule.h - Generates the requests of an experiment -----*- C++ -*-===//
//
// Generates the complete list of requests from an experiment and a seed alone,
// so that the configurations under comparison receive exactly the same load.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibLoad/Experiment.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace figlift::load {

/// One scheduled request.
struct Arrival {
  /// Time since the start of the run.
  std::chrono::microseconds Offset{0};
  std::string Workload;
  std::string Workspace;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  /// Index of the shared prefix of the prompt.
  uint32_t Prefix = 0;
  /// Makes the rest of the prompt, or the body of a service call, unique.
  uint64_t Nonce = 0;
};

/// Generates Poisson arrivals of all workloads, sorted by offset.
std::vector<Arrival> makeSchedule(const Experiment &Definition, uint64_t Seed);

/// Generates the text of a prompt with four bytes per token.
std::string makePrompt(const Arrival &Request, const CompletionWork &Work);

} // namespace figlift::load
