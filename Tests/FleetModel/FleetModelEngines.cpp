//===- FleetModelEngines.cpp - Engines of the model -----------------------===//
//
// Prefill, decode, move KV cache, and reject.
//
//===----------------------------------------------------------------------===//

#include "FleetModel.h"

#include "FleetFigures.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch::test {

using std::chrono::milliseconds;

bool FleetModel::rejectForATime(const RequestPointer &Call, Engine &Host) {
  Gateway &Sender = gateway(Call);
  std::vector<Gateway::Pause> &Pauses = Sender.Pauses[Host.Info.Id];
  for (Gateway::Pause &Asked : Pauses)
    if (m_Now > Asked.AskedAt + milliseconds(500) && m_Now < Asked.Until)
      m_Result.MostRequestsDuringPause =
          std::max(m_Result.MostRequestsDuringPause, ++Asked.Requests);
  if (!Host.RejectsForATime || m_Now < m_Start + m_Options.RejectsFrom ||
      m_Now >= m_Start + m_Options.RejectsUntil)
    return false;
  ++m_Result.PausesAskedFor;
  Pauses.push_back({m_Now, m_Now + m_Options.Pause});
  after(NetworkDelay, [this, Call, &Host] {
    gateway(Call).Backoffs.record(Host.Info.start(), m_Options.Pause, m_Now);
    handleEngineRejection(Call, Host);
  });
  return true;
}

/// Time until \p Tokens are transferred; each link carries one transfer at a
/// time.
Milliseconds FleetModel::fetch(Engine &Receiver, const std::string &SourceId,
                               uint32_t Tokens) {
  if (SourceId.empty() || Tokens == 0)
    return Milliseconds(0);
  Engine &Source = engine(SourceId);
  const Milliseconds TransferTime =
      costs().nominalTransfer(Tokens, Source.Info.Zone == Receiver.Info.Zone);
  const BootTime Start =
      std::max({m_Now, Receiver.LinkInUntil, Source.LinkOutUntil});
  Receiver.LinkInUntil = Source.LinkOutUntil =
      Start + toClockDuration(TransferTime);
  return Milliseconds(Receiver.LinkInUntil - m_Now);
}

void FleetModel::prefill(const RequestPointer &Call,
                         const PrefillThenDecode &Plan) {
  Call->PrefillEngine = Plan.PrefillTarget;
  Call->Ticket = gateway(Call).Loads.recordSent(
      Plan.PrefillTarget, {Plan.Cost, Plan.Expected, Plan.Prefill.Compute,
                           m_Now, Call->Details.EnginePriority});
  after(NetworkDelay, [this, Call, Plan] {
    Engine &Host = engine(Plan.PrefillTarget);
    if (rejectForATime(Call, Host))
      return;
    if (Host.Admitted >= EngineSlots + EngineQueueLimit)
      return after(NetworkDelay,
                   [this, Call, &Host] { handleEngineRejection(Call, Host); });
    ++Host.Admitted;
    const Prompt &Input = Call->Details.Input;
    uint32_t CachedTokens = Host.Cache.cachedTokens(Input);
    Milliseconds FetchTime{0};
    if (!Plan.FetchFrom.empty())
      if (const uint32_t AtSource =
              engine(Plan.FetchFrom).Cache.cachedTokens(Input);
          AtSource > CachedTokens) {
        FetchTime = fetch(Host, Plan.FetchFrom, AtSource - CachedTokens);
        CachedTokens = AtSource;
      }
    const Milliseconds ComputeTime = costs().prefill(Input, CachedTokens);
    const auto Complete = [this, Call, &Host] {
      --Host.Admitted;
      for (const PromptPart &Part : Call->Details.Input.Parts)
        Host.Cache.insert(Part);
      after(NetworkDelay, [this, Call, &Host] { finishPrefill(Call, Host); });
    };
    if (knowsPriorities())
      return after(FetchTime, [this, Call, &Host, ComputeTime, Complete] {
        Host.Prefills[{*Call->Details.EnginePriority, ++m_Order}] =
            [this, &Host, ComputeTime, Complete] {
              after(ComputeTime, [this, &Host] {
                Host.Prefilling = false;
                startNextPrefill(Host);
              });
              after(ComputeTime + m_Parameters.PrefillFixed, Complete);
            };
        startNextPrefill(Host);
      });
    const BootTime Start =
        std::max(m_Now + toClockDuration(FetchTime), Host.PrefillsUntil);
    Host.PrefillsUntil = Start + toClockDuration(ComputeTime);
    after(Milliseconds(Host.PrefillsUntil - m_Now) + m_Parameters.PrefillFixed,
          Complete);
  });
}

/// The most urgent waiting prompt is prefilled next; a prefill that has started
/// is not interrupted.
void FleetModel::startNextPrefill(Engine &Host) {
  if (Host.Prefilling || Host.Prefills.empty())
    return;
  Host.Prefilling = true;
  const Action Start = std::move(Host.Prefills.begin()->second);
  Host.Prefills.erase(Host.Prefills.begin());
  Start();
}

void FleetModel::decode(const RequestPointer &Call, const DecodePlan &Plan,
                        bool HasPrefilled) {
  Call->DecodeSent = m_Now;
  Call->DecodePlanned = Plan.Expected;
  Call->Ticket = gateway(Call).Loads.recordSent(
      Plan.DecodeTarget, {Plan.Cost, Plan.Expected, Plan.Prefill.Compute, m_Now,
                          Call->Details.EnginePriority});
  after(NetworkDelay, [this, Call, Plan, HasPrefilled] {
    Engine &Host = engine(Plan.DecodeTarget);
    if (rejectForATime(Call, Host))
      return;
    if (Host.Admitted >= EngineSlots + EngineQueueLimit)
      return after(NetworkDelay,
                   [this, Call, &Host] { handleEngineRejection(Call, Host); });
    ++Host.Admitted;
    auto Start = [this, Call, Plan, HasPrefilled] {
      startDecode(Call, Plan, HasPrefilled);
    };
    if (Host.Decoding < EngineSlots)
      Start();
    else
      Host.Queue[{Call->Details.EnginePriority.value_or(DefaultEnginePriority),
                  ++m_Order}] = Start;
  });
}

/// The request occupies a slot from here on.
void FleetModel::startDecode(const RequestPointer &Call, const DecodePlan &Plan,
                             bool HasPrefilled) {
  Engine &Host = engine(Plan.DecodeTarget);
  ++Host.Decoding;
  const Prompt &Input = Call->Details.Input;
  const uint32_t Missing = Input.Tokens - Host.Cache.cachedTokens(Input);
  Milliseconds PreparationTime;
  if (HasPrefilled) {
    PreparationTime = fetch(Host, Call->PrefillEngine, Missing);
  } else {
    // An engine prefills one prompt after the other.
    Host.PrefillsUntil =
        std::max(m_Now, Host.PrefillsUntil) +
        toClockDuration(costs().prefillWhileDecoding(
            EngineCosts::uncachedSize(Input, Input.Tokens - Missing)));
    PreparationTime = Milliseconds(Host.PrefillsUntil - m_Now);
  }
  const Milliseconds First = PreparationTime + m_Parameters.DecodeStartFixed;
  after(First + NetworkDelay, [this, Call, &Host, HasPrefilled] {
    gateway(Call).Loads.recordAnswer(Host.Info.Id, Call->Ticket, m_Now);
    recordFirstEvent(Call, HasPrefilled);
  });
  if (Host.Interval > Milliseconds(0) && Call->Generation == LongResponseTime)
    return after(First, [this, Call, &Host] {
      streamEvent(Call, Host, LongResponseEvents);
    });
  after(First + Call->Generation,
        [this, Call, &Host] { endDecode(Call, Host); });
}

void FleetModel::endDecode(const RequestPointer &Call, Engine &Host) {
  for (const PromptPart &Part : Call->Details.Input.Parts)
    Host.Cache.insert(Part);
  --Host.Admitted;
  --Host.Decoding;
  after(NetworkDelay, [this, Call, &Host] { finishDecode(Call, Host); });
  if (Host.Queue.empty())
    return;
  const Action NextStart = std::move(Host.Queue.begin()->second);
  Host.Queue.erase(Host.Queue.begin());
  NextStart();
}

Milliseconds FleetModel::nextInterval(const Engine &Host) const {
  const Milliseconds Phase(
      std::fmod(Milliseconds(m_Now - Host.SlowFrom) / SlowPeriod, 1) *
      SlowPeriod);
  return Host.Interval * (Phase < SlowTime ? SlowFactor : 1);
}

void FleetModel::streamEvent(const RequestPointer &Call, Engine &Host,
                             unsigned Remaining) {
  StreamPaces &Paces = gateway(Call).Paces;
  if (Remaining == 0) {
    endDecode(Call, Host);
    Paces.recordPauseRatio(ServiceName,
                           Call->LongestPause /
                               (Call->PauseSum / double(LongResponseEvents)),
                           m_Now);
    if (Call->Arrived < m_Start + std::chrono::seconds(3))
      return;
    ++m_Result.Streams;
    ++m_Result.StreamsByEngine[Host.Info.Id];
    if (Call->LongestPause <= Milliseconds(m_Options.AllowedPause))
      ++m_Result.StreamsWithoutLongPause;
    return;
  }
  const Milliseconds Pause = nextInterval(Host);
  after(Pause, [this, Call, &Host, Remaining, Pause] {
    gateway(Call).Paces.recordInterval(Host.Info.Id, Pause, 1, m_Now);
    Call->LongestPause = std::max(Call->LongestPause, Pause);
    Call->PauseSum += Pause;
    streamEvent(Call, Host, Remaining - 1);
  });
}

} // namespace figlift::dispatch::test
