//===- Target.h - Servers as the platform lists them ------------*- C++ -*-===//
//
// Typed entries of the list of servers.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"

#include <cstdint>
#include <string>

namespace figlift::dispatch {

/// Which part of a model's work an engine does.
enum class Stage {
  /// A plain service.
  None,
  /// Reads prompts and hands the KV cache on.
  Prefill,
  /// Generates tokens; reads prompts too, more slowly.
  Decode,
};

/// One start of a server.
struct Target {
  /// Differs for each start of a server.
  std::string Id;
  std::string Service;
  Endpoint Address;
  std::string Zone;
  /// Requests that it works on at once.
  unsigned Slots = 1;
  /// It leaves soon and takes no new work.
  bool Draining = false;
  Stage Does = Stage::None;

  bool operator==(const Target &) const = default;
};

} // namespace figlift::dispatch
