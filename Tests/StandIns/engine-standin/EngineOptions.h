//===- EngineOptions.h - Speeds and sizes of the engine ---------*- C++ -*-===//
//
// What the flags set; POST /control/settings changes part of it later.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "StandInCommon/Duration.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace figlift::standin {

struct EngineOptions {
  std::string Listen;
  std::string Role;
  /// "name@version,name@version"
  std::string Models;
  /// Platform with the weight store, or empty: models load without it.
  std::string Platform;

  /// Prompt tokens each second of a mixed-role engine.
  double PrefillRate = 20000;
  std::chrono::microseconds DecodeStep{20000};
  /// Added to a decode step for each running sequence.
  std::chrono::microseconds DecodePerSequence{200};
  uint64_t ChunkTokens = 2048;
  uint64_t MaximumSequences = 64;
  uint64_t KvTokens = 262144;
  uint64_t KvBytesPerToken = 131072;
  /// Bytes of KV cache that move each second.
  double KvTransferRate = 10e9;

  std::chrono::microseconds LoadLag{0};
  std::chrono::microseconds CacheEventLag{500000};
  /// Every so many cache events one is never published; 0: none is lost.
  uint64_t CacheEventGap = 50;

  std::chrono::microseconds OrderDuration{2000000};
  bool HonourEpoch = false;
  /// Whether an order is refused while another one runs.
  bool RefuseBusy = true;
};

} // namespace figlift::standin
