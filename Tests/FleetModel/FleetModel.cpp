//===- FleetModel.cpp - Discrete-event model of gateways and engines ------===//
//
// All activity is a queue of events, each an action at a point in time.
//
//===----------------------------------------------------------------------===//

#include "FleetModel.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace figlift::dispatch::test {

using std::chrono::milliseconds;

namespace {

constexpr unsigned EngineSlots = 6;
/// Requests that an engine admits beyond those in its slots.
constexpr unsigned EngineQueueLimit = 18;
/// Network delay of a request to an engine, or of a response from one.
constexpr Milliseconds NetworkDelay{0.5};
/// Callers return within this time after the end of the first pause.
constexpr Milliseconds ReturnSpread{500};
constexpr Milliseconds LatencyTarget{200};
constexpr Milliseconds Deadline{2000};
/// Fraction of the requests at normal load whose responses last seconds. Their
/// rate stays the same when the load rises.
constexpr double LongResponseFraction = 1.0 / 76;
constexpr Milliseconds LongResponseTime{3500};
/// Time between the two events of a short response; six in ten have a second.
constexpr Milliseconds SecondEventGap{85};
constexpr double SecondEventFraction = 0.6;
/// Events of a long response. At an interval of 70 ms they take
/// LongResponseTime.
constexpr unsigned LongResponseEvents = 50;
/// An engine is slower by this factor in a part of each period.
constexpr double SlowFactor = 2.5;
constexpr Milliseconds SlowTime{300};
constexpr Milliseconds SlowPeriod{2000};
/// The gateways report intervals between events this often.
constexpr Milliseconds PaceInterval{500};
constexpr const char *ServiceName = "s";
constexpr unsigned SubjectCount = 4158;
constexpr unsigned UrgentPriority = 1;
constexpr unsigned LessUrgentPriority = 6;

BootClock::duration toClockDuration(Milliseconds Time) {
  return std::chrono::duration_cast<BootClock::duration>(Time);
}

} // namespace

FleetModel::FleetModel(FleetOptions Options)
    : m_Options(Options), m_Random(Options.Seed) {
  m_Traits.Slots = EngineSlots;
  m_Traits.KvCapacityTokens = 1186579;
  m_Traits.KvBytesPerToken = 18432;
  m_Traits.LinkMbps = 590000;
  m_Parameters.PrefillFixed = Milliseconds(6);
  m_Parameters.PrefillPerThousandTokens = Milliseconds(1.49);
  m_Parameters.PrefillPerMillionPairs = Milliseconds(0.036);
  m_Parameters.FetchFixed = Milliseconds(1.3);
  m_Parameters.DecodeStartFixed = Milliseconds(5.5);
  m_Parameters.PrefillWeight = 1000;
  const unsigned EngineCount =
      m_Options.PrefillEngines + m_Options.DecodeEngines;
  for (unsigned I = 0; I < EngineCount; ++I) {
    Target NewTarget;
    // The order of names is unrelated to stage and zone.
    NewTarget.Id = "engine-" + std::to_string((I * 37) % EngineCount + 1000);
    NewTarget.Zone = "zone-" + std::to_string(m_Random() % m_Options.Zones);
    NewTarget.EngineStage =
        I < m_Options.PrefillEngines ? Stage::Prefill : Stage::Decode;
    Engine &NewEngine = m_Engines[NewTarget.Id];
    NewEngine.Info = NewTarget;
    NewEngine.Cache.setCapacity(m_Traits.KvCapacityTokens);
    const unsigned OfStage =
        I < m_Options.PrefillEngines ? I : I - m_Options.PrefillEngines;
    const unsigned StageCount = I < m_Options.PrefillEngines
                                    ? m_Options.PrefillEngines
                                    : m_Options.DecodeEngines;
    if (m_Options.SlowInterval > Milliseconds(0)) {
      NewEngine.Interval =
          OfStage % 2 == 0 ? m_Options.FastInterval : m_Options.SlowInterval;
      NewEngine.SlowFrom =
          m_Start - toClockDuration(SlowPeriod * randomFraction());
    }
    NewEngine.RejectsForATime = OfStage < m_Options.RejectingShare * StageCount;
  }
  for (const auto &[Id, Known] : m_Engines)
    m_Targets.push_back(&Known.Info);
  for (unsigned I = 0; I < m_Options.Gateways; ++I) {
    m_Gateways.push_back(std::make_unique<Gateway>(PromptPlannerOptions{}));
    m_Gateways[I]->Reserve.setOwnShare(1.0 / m_Options.Gateways, m_Now);
    for (const Target *Known : m_Targets)
      m_Gateways[I]->Loads.targetAdded(*Known, m_Traits.KvCapacityTokens);
    after(Milliseconds(m_Options.ReportInterval) * randomFraction(),
          [this, I] { report(I); });
    if (m_Options.SlowInterval > Milliseconds(0))
      after(PaceInterval * randomFraction(), [this, I] { reportPaces(I); });
  }
}

void FleetModel::after(Milliseconds Delay, Action Run) {
  m_Events.push({m_Now + toClockDuration(Delay), ++m_Order, std::move(Run)});
}

double FleetModel::currentLoad() const {
  const auto Elapsed = m_Now - m_Start;
  if (Elapsed < std::chrono::seconds(1))
    return 1;
  if (m_Options.SwingPeriod.count() == 0)
    return m_Options.Load;
  const auto Period =
      (Elapsed - std::chrono::seconds(1)) / m_Options.SwingPeriod;
  return Period % 2 == 0 ? m_Options.Load : 1;
}

FleetResult FleetModel::run() {
  scheduleCaller();
  const BootTime End = m_Start + m_Options.Duration + toClockDuration(Deadline);
  while (!m_Events.empty() && m_Events.top().At < End) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.At;
    Next.Run();
  }
  const auto Measured = m_Options.Duration - std::chrono::seconds(1);
  m_Result.Goodput =
      m_Result.OnTime / std::chrono::duration<double>(Measured).count();
  return m_Result;
}

void FleetModel::scheduleCaller() {
  if (m_Now >= m_Start + m_Options.Duration)
    return;
  auto NewCall = std::make_shared<Request>();
  NewCall->Details = newRequest();
  NewCall->Generation =
      randomFraction() < SecondEventFraction ? SecondEventGap : Milliseconds(0);
  if (NewCall->Details.Input.Tokens < 1000)
    NewCall->Generation = LongResponseTime;
  if (NewCall->Generation == LongResponseTime &&
      m_Options.SlowInterval > Milliseconds(0) && m_Options.PlacesByPauses) {
    NewCall->Details.Service = ServiceName;
    NewCall->Details.AllowedPause = m_Options.AllowedPause;
  }
  NewCall->Arrived = m_Now;
  setPriority(NewCall);
  receive(NewCall);
  after(Milliseconds(-std::log(1 - randomFraction()) * 1e3 /
                     (m_Options.Rate * totalLoad())),
        [this] { scheduleCaller(); });
}

PromptRequest FleetModel::newRequest() {
  PromptRequest NewRequest;
  NewRequest.LatencyTarget = LatencyTarget;
  NewRequest.EventGap = Milliseconds(250);
  const uint64_t OwnPartId = m_Random();
  if (randomFraction() < LongResponseFraction / totalLoad()) {
    NewRequest.Input = {
        220, 100, {{1 + m_Random() % 82, 80}, {OwnPartId, 140}}};
    NewRequest.GenerationTime = LongResponseTime;
    return NewRequest;
  }
  // Log-normal with a mean and a standard deviation of 2,890.
  const double RandomSize = std::exp(
      std::normal_distribution<double>(std::log(2890) - 0.35, 0.83)(m_Random));
  const auto OwnTokens =
      static_cast<uint32_t>(std::clamp(RandomSize, 100.0, 39600.0));
  NewRequest.Input = {2520 + 3780 + OwnTokens,
                      2,
                      {{100 + m_Random() % 4, 2520},
                       {1000 + m_Random() % SubjectCount, 3780},
                       {OwnPartId, OwnTokens}}};
  NewRequest.GenerationTime = SecondEventGap * SecondEventFraction;
  return NewRequest;
}

void FleetModel::setPriority(const RequestPointer &Call) {
  if (!knowsPriorities())
    return;
  Call->Priority = randomFraction() < m_Options.UrgentShare / totalLoad()
                       ? UrgentPriority
                       : LessUrgentPriority;
  if (!m_Options.SendsPriorities) {
    Call->Details.EnginePriority = DefaultEnginePriority;
    return;
  }
  // Long streams are as urgent at engines as any.
  Call->Details.EnginePriority =
      Call->Generation == LongResponseTime ? UrgentPriority : Call->Priority;
}

PriorityResult &FleetModel::resultOf(const RequestPointer &Call) {
  return Call->Priority == UrgentPriority ? m_Result.Urgent
                                          : m_Result.LessUrgent;
}

void FleetModel::recordDemand(const RequestPointer &Call) {
  const PromptRequest &Details = Call->Details;
  uint32_t CachedTokens = 0;
  for (const Target *Known : m_Targets)
    CachedTokens =
        std::max(CachedTokens,
                 gateway(Call).Loads.cachedTokens(Known->Id, Details.Input));
  gateway(Call).Reserve.recordRequest(
      Call->Priority, costs().prefill(Details.Input, CachedTokens),
      costs().transfer(Details.Input.Tokens, false) +
          std::min(Details.GenerationTime, LatencyTarget) / EngineSlots,
      m_Now);
}

void FleetModel::receive(const RequestPointer &Call) {
  Call->GatewayIndex = static_cast<unsigned>(m_Random() % m_Options.Gateways);
  PromptRequest &Details = Call->Details;
  const Milliseconds Elapsed(m_Now - Call->Arrived);
  Details.Draw = randomFraction();
  Call->ReceivedAt = m_Now;
  // A gateway does not know that the caller was rejected before.
  Details.TimeToLatencyTarget = LatencyTarget;
  Details.TimeLeft = Deadline - Elapsed;
  const bool IsCounted =
      Call->Arrived >= m_Start + std::chrono::seconds(1) && !Call->Retried;
  m_Result.Requested += IsCounted ? 1 : 0;
  resultOf(Call).Requested += IsCounted ? 1 : 0;
  if (knowsPriorities())
    recordDemand(Call);
  plan(Call);
}

PromptRequest FleetModel::allowedNow(const RequestPointer &Call) {
  PromptRequest Allowed = Call->Details;
  if (m_Options.KeepsPauses)
    for (const std::string &Id : gateway(Call).Backoffs.activeIds(m_Now))
      Allowed.Excluded.push_back(Id);
  return Allowed;
}

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

void FleetModel::plan(const RequestPointer &Call) {
  PromptRequest &Details = Call->Details;
  Call->PlannedAt = m_Now;
  Details.ExpectedStartLag = gateway(Call).Lags[Call->Priority].current(m_Now);
  Details.Reserve = Milliseconds(0);
  if (knowsPriorities() && m_Options.KeepsReserve && !Call->Resent)
    Details.Reserve = gateway(Call).Reserve.reserve(
        Call->Priority, LatencyTarget,
        {static_cast<double>(m_Options.PrefillEngines),
         static_cast<double>(m_Options.DecodeEngines)},
        m_Now);
  Details.MaySpill =
      m_Options.Spills && randomFraction() < gateway(Call).Spill.share();
  const auto Plan =
      gateway(Call).Planner.plan(allowedNow(Call), m_Targets, costs(), m_Now);
  if (const auto *PrefillFirst = std::get_if<PrefillThenDecode>(&Plan)) {
    Call->ExpectedFirst = PrefillFirst->FirstEvent;
    return prefill(Call, *PrefillFirst);
  }
  if (const auto *DirectDecode = std::get_if<DecodePlan>(&Plan)) {
    Call->ExpectedFirst = DirectDecode->Expected;
    Call->Spilled = DirectDecode->Spilled;
    return decode(Call, *DirectDecode, false);
  }
  const auto &Refused = std::get<Rejection>(Plan);
  const auto FirstEnd = gateway(Call).Backoffs.firstEnd(m_Targets, m_Now);
  handleRejection(Call, Refused.NoneAvailable && FirstEnd
                            ? Milliseconds(*FirstEnd) +
                                  ReturnSpread * randomFraction()
                            : Milliseconds(Refused.RetryAfter));
}

void FleetModel::handleRejection(const RequestPointer &Call,
                                 Milliseconds RetryAfter) {
  ++m_Result.GatewayRejections;
  gateway(Call).Reserve.recordOutcome(Call->Priority, false, m_Now);
  const Milliseconds Remaining = Deadline - Milliseconds(m_Now - Call->Arrived);
  if (std::exchange(Call->Retried, true) || RetryAfter > Remaining / 3)
    return;
  after(RetryAfter, [this, Call] {
    Call->Details.Excluded.clear();
    Call->Resent = false;
    receive(Call);
  });
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

void FleetModel::finishPrefill(const RequestPointer &Call, Engine &Host) {
  Gateway &Planning = gateway(Call);
  Planning.Loads.recordAnswer(Host.Info.Id, Call->Ticket, m_Now);
  Planning.Loads.recordEnd(Host.Info.Id, Call->Ticket);
  recordCached(Call, Host);
  const auto DecodeTarget = Planning.Planner.chooseDecodeTarget(
      allowedNow(Call), &Host.Info, m_Targets, costs(), m_Now);
  if (DecodeTarget)
    return decode(Call, *DecodeTarget, true);
  handleRejection(Call, Milliseconds(300));
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

void FleetModel::reportPaces(unsigned SenderIndex) {
  StreamPaces &Sender = m_Gateways[SenderIndex]->Paces;
  const auto Intervals = Sender.intervals().localSamples(m_Now);
  const auto Ratios = Sender.ratios().localSamples(m_Now);
  const std::string Name = std::to_string(SenderIndex);
  for (unsigned I = 0; I < m_Options.Gateways; ++I)
    if (I != SenderIndex) {
      StreamPaces &Receiver = m_Gateways[I]->Paces;
      Receiver.intervals().recordPeerReport(Name, Intervals, m_Now);
      Receiver.ratios().recordPeerReport(Name, Ratios, m_Now);
    }
  after(PaceInterval, [this, SenderIndex] { reportPaces(SenderIndex); });
}

void FleetModel::recordFirstEvent(const RequestPointer &Call,
                                  bool HasPrefilled) {
  Gateway &Planning = gateway(Call);
  Planning.Lags[Call->Priority].observe(Call->ExpectedFirst,
                                        Milliseconds(m_Now - Call->PlannedAt),
                                        LatencyTarget, m_Now);
  Planning.Reserve.recordOutcome(Call->Priority, true, m_Now);
  const bool OnTime =
      m_Now - Call->ReceivedAt <= toClockDuration(LatencyTarget);
  if (Call->Spilled)
    Planning.Spill.recordSpilled(OnTime);
  else if (!HasPrefilled && !OnTime)
    Planning.Spill.recordLateSmallPrompt();
  if (OnTime) {
    const auto Second = static_cast<size_t>(
        std::chrono::floor<std::chrono::seconds>(m_Now - m_Start).count());
    m_Result.OnTimeBySecond.resize(
        std::max(m_Result.OnTimeBySecond.size(), Second + 1));
    ++m_Result.OnTimeBySecond[Second];
  }
  if (Call->Arrived >= m_Start + std::chrono::seconds(1))
    ++(OnTime ? m_Result.OnTime : m_Result.Late);
  if (Call->Arrived >= m_Start + std::chrono::seconds(1) && OnTime)
    ++resultOf(Call).OnTime;
}

void FleetModel::finishDecode(const RequestPointer &Call, Engine &Host) {
  gateway(Call).Loads.recordEnd(Host.Info.Id, Call->Ticket);
  recordCached(Call, Host);
}

/// As in the gateway process, a rejected request is planned once more.
void FleetModel::handleEngineRejection(const RequestPointer &Call,
                                       Engine &Host) {
  ++m_Result.EngineRejections;
  LoadTracker &Loads = gateway(Call).Loads;
  Loads.recordRejection(Host.Info.Id, m_Now);
  gateway(Call).Lags[Call->Priority].recordRejection(LatencyTarget, m_Now);
  Loads.recordEnd(Host.Info.Id, Call->Ticket);
  if (std::exchange(Call->Resent, true))
    return handleRejection(Call, Milliseconds(300));
  PromptRequest &Details = Call->Details;
  Details.Excluded.push_back(Host.Info.Id);
  const Milliseconds Elapsed(m_Now - Call->Arrived);
  Details.TimeToLatencyTarget =
      std::max(Milliseconds(0), LatencyTarget - Elapsed);
  Details.TimeLeft = std::max(Milliseconds(0), Deadline - Elapsed);
  plan(Call);
}

void FleetModel::recordCached(const RequestPointer &Call, Engine &Host) {
  Gateway &Planning = gateway(Call);
  KvCacheView &Cache = Planning.Loads.cache(Host.Info.Id);
  const auto &Parts = Call->Details.Input.Parts;
  for (size_t Index = 0; Index < Parts.size(); ++Index) {
    const bool IsNew = !Cache.contains(Parts[Index].Id);
    Cache.insert(Parts[Index]);
    if (IsNew && Index + 1 < Parts.size())
      Planning.NewlyCached.emplace_back(Host.Info.Id, Parts[Index]);
  }
}

void FleetModel::report(unsigned SenderIndex) {
  Gateway &Sender = *m_Gateways[SenderIndex];
  auto Loads = Sender.Loads.localLoads();
  if (SenderIndex < m_Options.GatewaysWithoutPriorities)
    for (PeerLoad &Load : Loads)
      Load.ByPriority.clear();
  const bool IsLost =
      m_Options.LostReports > 0 && randomFraction() < m_Options.LostReports;
  const auto Cached = std::exchange(Sender.NewlyCached, {});
  const std::string Name = std::to_string(SenderIndex);
  for (unsigned I = 0; I < m_Options.Gateways; ++I) {
    if (I == SenderIndex || IsLost)
      continue;
    LoadTracker &Receiver = m_Gateways[I]->Loads;
    Receiver.recordPeerReport(Name, Loads, m_Now);
    for (const auto &[Id, Part] : Cached)
      Receiver.cache(Id).insert(Part);
  }
  after(m_Options.ReportInterval, [this, SenderIndex] { report(SenderIndex); });
}

} // namespace figlift::dispatch::test
