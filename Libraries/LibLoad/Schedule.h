//===- Schedule.h - The requests of an experiment ---------------*- C++ -*-===//
//
// Pure: an experiment and a seed give the whole list of requests, so that two
// arms of a comparison meet exactly the same load.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibLoad/Experiment.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace figlift::load {

/// One request that will be sent.
struct Arrival {
  /// Since the start of the run.
  std::chrono::microseconds Offset{0};
  std::string Workload;
  std::string Workspace;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  /// Which shared prefix the prompt begins with.
  uint32_t Prefix = 0;
  /// Makes the rest of the prompt and the key differ from all others.
  uint64_t Nonce = 0;
};

/// Poisson arrivals of all workloads in the order of their offsets.
std::vector<Arrival> makeSchedule(const Experiment &What, uint64_t Seed);

/// Text of a prompt with four bytes a token.
std::string makePrompt(const Arrival &Which, const CompletionWork &Work);

} // namespace figlift::load
