//===- EngineCall.cpp - Control calls to engines --------------------------===//
//
// Finds the connection of the engine.
//
//===----------------------------------------------------------------------===//

#include "EngineCall.h"

#include "platform/EngineCalls.h"

namespace figlift::gateway {

namespace {

/// Longer than any connection delays a call in transit. An order without a
/// response after this time may still take effect later.
constexpr std::chrono::milliseconds CallTimeout{1500};

} // namespace

bool callEngine(Context &Shared, const std::string &TargetId,
                std::string_view Method, std::string_view Path,
                const std::string &Body, CallCallback Done) {
  const auto Pool = Shared.Pools.find(TargetId);
  const dispatch::Target *Engine = Shared.Targets.find(TargetId);
  if (Pool == Shared.Pools.end() || !Engine)
    return false;
  auto Connection = Pool->second->acquire(BootClock::now());
  if (!Connection)
    return false;
  Shared.Limits.recordSend(TargetId, BootClock::now());
  startControlCall(Shared.Loop, std::move(Connection),
                   slopes::targetedCallBytes(Method, Path, *Engine, Body),
                   CallTimeout, std::move(Done));
  return true;
}

} // namespace figlift::gateway
