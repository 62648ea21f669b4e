//===- EngineCall.cpp - Control calls to engines --------------------------===//
//
// Finds the connection of the engine.
//
//===----------------------------------------------------------------------===//

#include "EngineCall.h"

#include "ServerExchange.h"

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
  const dispatch::Target *Engine = Shared.Targets.find(TargetId);
  if (!Engine)
    return false;
  const auto Start = [&](std::shared_ptr<upstream::ExchangeSink> Sink) {
    return startExchange(
        Shared,
        {.TargetId = TargetId,
         .Bytes = slopes::targetedCallBytes(Method, Path, *Engine, Body),
         .Sink = std::move(Sink),
         .IsServersAnswer = slopes::isTargetsAnswer,
         .IsSuitable =
             [](const upstream::ServerConnection &Connection) {
               return !Connection.hasCarriedCall();
             },
         .IsCall = true},
        BootClock::now());
  };
  return startControlCall(Shared, Start, CallTimeout, std::move(Done));
}

} // namespace figlift::gateway
