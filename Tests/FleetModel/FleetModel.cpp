//===- FleetModel.cpp - Gateways before engines, without a network --------===//
//
// One queue of events; everything that happens is an action at a time.
//
//===----------------------------------------------------------------------===//

#include "FleetModel.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace figlift::dispatch::test {

namespace {

constexpr unsigned EngineSlots = 6;
/// Requests that an engine takes beside those in its slots.
constexpr unsigned EngineQueue = 18;
/// A request's way to an engine, or an answer's way back.
constexpr Milliseconds Travel{0.5};
constexpr Milliseconds LatencyTarget{200};
constexpr Milliseconds Deadline{2000};
/// Share of the calm hour's requests that have an answer of seconds; as many
/// of them come when the others are many.
constexpr double LongAnswers = 1.0 / 76;
constexpr Milliseconds LongAnswer{3500};
/// Between two events of a short answer; six in ten have two.
constexpr Milliseconds SecondEvent{85};
constexpr double SecondEvents = 0.6;
constexpr unsigned Subjects = 4158;

BootClock::duration duration(Milliseconds Time) {
  return std::chrono::duration_cast<BootClock::duration>(Time);
}

} // namespace

FleetModel::FleetModel(FleetOptions Options)
    : m_Options(Options), m_Random(Options.Seed) {
  m_Traits.Slots = EngineSlots;
  m_Traits.KvCapacityTokens = 1186579;
  m_Traits.KvBytesPerToken = 18432;
  m_Traits.LinkMbps = 590000;
  m_Figures.PrefillFixed = Milliseconds(6);
  m_Figures.PrefillPerThousandTokens = Milliseconds(1.49);
  m_Figures.PrefillPerMillionPairs = Milliseconds(0.036);
  m_Figures.FetchFixed = Milliseconds(1.3);
  m_Figures.DecodeStartFixed = Milliseconds(5.5);
  m_Figures.PrefillWeight = 1000;
  const unsigned All = m_Options.Readers + m_Options.Runners;
  for (unsigned At = 0; At < All; ++At) {
    Target Who;
    // Names say nothing of stage or zone.
    Who.Id = "engine-" + std::to_string((At * 37) % All + 1000);
    Who.Zone = "zone-" + std::to_string(m_Random() % m_Options.Zones);
    Who.EngineStage = At < m_Options.Readers ? Stage::Prefill : Stage::Decode;
    Engine &Made = m_Engines[Who.Id];
    Made.Who = Who;
    Made.Kept.setCapacity(m_Traits.KvCapacityTokens);
  }
  for (const auto &[Id, Each] : m_Engines)
    m_Targets.push_back(&Each.Who);
  for (unsigned At = 0; At < m_Options.Gateways; ++At) {
    m_Gateways.push_back(std::make_unique<Gateway>(PromptPlannerOptions{}));
    for (const Target *Each : m_Targets)
      m_Gateways[At]->Loads.targetAdded(*Each, m_Traits.KvCapacityTokens);
    after(Milliseconds(m_Options.ReportInterval) * draw(),
          [this, At] { report(At); });
  }
}

void FleetModel::after(Milliseconds Delay, Action Do) {
  m_Events.push({m_Now + duration(Delay), ++m_Order, std::move(Do)});
}

double FleetModel::loadNow() const {
  const auto Since = m_Now - m_Start;
  if (Since < std::chrono::seconds(1))
    return 1;
  if (m_Options.SwingPeriod.count() == 0)
    return m_Options.Load;
  const auto Turn = (Since - std::chrono::seconds(1)) / m_Options.SwingPeriod;
  return Turn % 2 == 0 ? m_Options.Load : 1;
}

FleetResult FleetModel::run() {
  nextCaller();
  const BootTime End = m_Start + m_Options.Length + duration(Deadline);
  while (!m_Events.empty() && m_Events.top().At < End) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.At;
    Next.Do();
  }
  const auto Measured = m_Options.Length - std::chrono::seconds(1);
  m_Result.Goodput =
      m_Result.OnTime / std::chrono::duration<double>(Measured).count();
  return m_Result;
}

void FleetModel::nextCaller() {
  if (m_Now >= m_Start + m_Options.Length)
    return;
  auto Made = std::make_shared<Request>();
  Made->What = newRequest();
  Made->Generation = draw() < SecondEvents ? SecondEvent : Milliseconds(0);
  if (Made->What.Input.Tokens < 1000)
    Made->Generation = LongAnswer;
  Made->Came = m_Now;
  take(Made);
  after(
      Milliseconds(-std::log(1 - draw()) * 1e3 / (m_Options.Rate * loadNow())),
      [this] { nextCaller(); });
}

PromptRequest FleetModel::newRequest() {
  PromptRequest Made;
  Made.LatencyTarget = LatencyTarget;
  Made.EventGap = Milliseconds(250);
  const uint64_t Own = m_Random();
  if (draw() < LongAnswers / loadNow()) {
    Made.Input = {220, 100, {{1 + m_Random() % 82, 80}, {Own, 140}}};
    Made.GenerationTime = LongAnswer;
    return Made;
  }
  // Log-normal with a mean of 2,890 and as much deviation.
  const double Size = std::exp(
      std::normal_distribution<double>(std::log(2890) - 0.35, 0.83)(m_Random));
  const auto OwnTokens =
      static_cast<uint32_t>(std::clamp(Size, 100.0, 39600.0));
  Made.Input = {2520 + 3780 + OwnTokens,
                2,
                {{100 + m_Random() % 4, 2520},
                 {1000 + m_Random() % Subjects, 3780},
                 {Own, OwnTokens}}};
  Made.GenerationTime = SecondEvent * SecondEvents;
  return Made;
}

void FleetModel::take(const RequestPointer &Which) {
  Which->At = static_cast<unsigned>(m_Random() % m_Options.Gateways);
  PromptRequest &What = Which->What;
  const Milliseconds Since(m_Now - Which->Came);
  What.Draw = draw();
  Which->Taken = m_Now;
  // A gateway does not know that the caller was refused before.
  What.TimeToLatencyTarget = LatencyTarget;
  What.TimeLeft = Deadline - Since;
  const bool Measured =
      Which->Came >= m_Start + std::chrono::seconds(1) && !Which->Returned;
  m_Result.Asked += Measured ? 1 : 0;
  plan(Which);
}

void FleetModel::plan(const RequestPointer &Which) {
  PromptRequest &What = Which->What;
  Which->Planned = m_Now;
  What.ExpectedStartLag = gateway(Which).Lag.current(m_Now);
  const auto Plan =
      gateway(Which).Planner.plan(What, m_Targets, costs(), m_Now);
  if (const auto *Read = std::get_if<PrefillThenDecode>(&Plan)) {
    Which->PlannedFirst = Read->FirstEvent;
    return read(Which, *Read);
  }
  if (const auto *Run = std::get_if<DecodePlan>(&Plan)) {
    Which->PlannedFirst = Run->Expected;
    return run(Which, *Run, false);
  }
  refused(Which, std::get<Rejection>(Plan).RetryAfter);
}

void FleetModel::refused(const RequestPointer &Which, Milliseconds RetryAfter) {
  ++m_Result.Refusals;
  const Milliseconds Left = Deadline - Milliseconds(m_Now - Which->Came);
  if (std::exchange(Which->Returned, true) || RetryAfter > Left / 3)
    return;
  after(RetryAfter, [this, Which] {
    Which->What.Excluded.clear();
    Which->SentTwice = false;
    take(Which);
  });
}

/// Time until \p Tokens have come; both links carry one transfer at a time.
Milliseconds FleetModel::fetch(Engine &To, const std::string &From,
                               uint32_t Tokens) {
  if (From.empty() || Tokens == 0)
    return Milliseconds(0);
  Engine &Source = engine(From);
  const Milliseconds Takes =
      costs().nominalTransfer(Tokens, Source.Who.Zone == To.Who.Zone);
  const BootTime Begins =
      std::max({m_Now, To.LinkInUntil, Source.LinkOutUntil});
  To.LinkInUntil = Source.LinkOutUntil = Begins + duration(Takes);
  return Milliseconds(To.LinkInUntil - m_Now);
}

void FleetModel::read(const RequestPointer &Which,
                      const PrefillThenDecode &Plan) {
  Which->Reader = Plan.PrefillTarget;
  Which->Ticket = gateway(Which).Loads.recordSent(
      Plan.PrefillTarget,
      {Plan.Cost, Plan.Expected, Plan.Prefill.Compute, m_Now});
  after(Travel, [this, Which, Plan] {
    Engine &At = engine(Plan.PrefillTarget);
    if (At.Present >= EngineSlots + EngineQueue)
      return after(Travel, [this, Which, &At] { turnedAway(Which, At); });
    ++At.Present;
    const Prompt &What = Which->What.Input;
    uint32_t Kept = At.Kept.cachedTokens(What);
    Milliseconds Fetching{0};
    if (!Plan.FetchFrom.empty())
      if (const uint32_t There = engine(Plan.FetchFrom).Kept.cachedTokens(What);
          There > Kept) {
        Fetching = fetch(At, Plan.FetchFrom, There - Kept);
        Kept = There;
      }
    const BootTime Begins = std::max(m_Now + duration(Fetching), At.ReadsUntil);
    At.ReadsUntil = Begins + duration(costs().prefill(What, Kept));
    const Milliseconds Ends =
        Milliseconds(At.ReadsUntil - m_Now) + m_Figures.PrefillFixed;
    after(Ends, [this, Which, &At] {
      --At.Present;
      for (const PromptPart &Each : Which->What.Input.Parts)
        At.Kept.insert(Each);
      after(Travel, [this, Which, &At] { readEnded(Which, At); });
    });
  });
}

void FleetModel::readEnded(const RequestPointer &Which, Engine &At) {
  Gateway &Deciding = gateway(Which);
  Deciding.Loads.recordAnswer(At.Who.Id, Which->Ticket, m_Now);
  Deciding.Loads.recordEnd(At.Who.Id, Which->Ticket);
  keep(Which, At);
  const auto Runner = Deciding.Planner.chooseDecodeTarget(
      Which->What, &At.Who, m_Targets, costs(), m_Now);
  if (Runner)
    return run(Which, *Runner, true);
  refused(Which, Milliseconds(300));
}

void FleetModel::run(const RequestPointer &Which, const DecodePlan &Plan,
                     bool HasRead) {
  Which->RunSent = m_Now;
  Which->RunPlanned = Plan.Expected;
  Which->Ticket = gateway(Which).Loads.recordSent(
      Plan.DecodeTarget,
      {Plan.Cost, Plan.Expected, Plan.Prefill.Compute, m_Now});
  after(Travel, [this, Which, Plan, HasRead] {
    Engine &At = engine(Plan.DecodeTarget);
    if (At.Present >= EngineSlots + EngineQueue)
      return after(Travel, [this, Which, &At] { turnedAway(Which, At); });
    ++At.Present;
    auto Start = [this, Which, Plan, HasRead] {
      startRun(Which, Plan, HasRead);
    };
    if (At.Running < EngineSlots)
      Start();
    else
      At.Waiting.push(Start);
  });
}

/// From here on it is in a slot.
void FleetModel::startRun(const RequestPointer &Which, const DecodePlan &Plan,
                          bool HasRead) {
  Engine &At = engine(Plan.DecodeTarget);
  ++At.Running;
  const Prompt &What = Which->What.Input;
  const uint32_t Missing = What.Tokens - At.Kept.cachedTokens(What);
  const Milliseconds Before =
      HasRead ? fetch(At, Which->Reader, Missing)
              : costs().prefillWhileDecoding(
                    EngineCosts::uncachedSize(What, What.Tokens - Missing));
  const Milliseconds First = Before + m_Figures.DecodeStartFixed;
  after(First + Travel, [this, Which, &At] {
    gateway(Which).Loads.recordAnswer(At.Who.Id, Which->Ticket, m_Now);
    gateway(Which).Lag.observe(Which->PlannedFirst,
                               Milliseconds(m_Now - Which->Planned),
                               LatencyTarget, m_Now);
    if (Which->Came < m_Start + std::chrono::seconds(1))
      return;
    const bool OnTime = m_Now - Which->Taken <= duration(LatencyTarget);
    ++(OnTime ? m_Result.OnTime : m_Result.Late);
  });
  after(First + Which->Generation, [this, Which, &At] {
    for (const PromptPart &Each : Which->What.Input.Parts)
      At.Kept.insert(Each);
    --At.Present;
    --At.Running;
    after(Travel, [this, Which, &At] { runEnded(Which, At); });
    if (At.Waiting.empty())
      return;
    const Action Next = std::move(At.Waiting.front());
    At.Waiting.pop();
    Next();
  });
}

void FleetModel::runEnded(const RequestPointer &Which, Engine &At) {
  gateway(Which).Loads.recordEnd(At.Who.Id, Which->Ticket);
  keep(Which, At);
}

/// As in the processes: once more, anew, where time allows.
void FleetModel::turnedAway(const RequestPointer &Which, Engine &At) {
  ++m_Result.Rejections;
  LoadTracker &Loads = gateway(Which).Loads;
  Loads.recordRejection(At.Who.Id, m_Now);
  gateway(Which).Lag.recordRejection(LatencyTarget, m_Now);
  Loads.recordEnd(At.Who.Id, Which->Ticket);
  if (std::exchange(Which->SentTwice, true))
    return refused(Which, Milliseconds(300));
  PromptRequest &What = Which->What;
  What.Excluded.push_back(At.Who.Id);
  const Milliseconds Since(m_Now - Which->Came);
  What.TimeToLatencyTarget = std::max(Milliseconds(0), LatencyTarget - Since);
  What.TimeLeft = std::max(Milliseconds(0), Deadline - Since);
  plan(Which);
}

void FleetModel::keep(const RequestPointer &Which, Engine &At) {
  Gateway &Deciding = gateway(Which);
  KvCacheView &Cache = Deciding.Loads.cache(At.Who.Id);
  const auto &Parts = Which->What.Input.Parts;
  for (size_t Index = 0; Index < Parts.size(); ++Index) {
    const bool IsNew = !Cache.contains(Parts[Index].Id);
    Cache.insert(Parts[Index]);
    if (IsNew && Index + 1 < Parts.size())
      Deciding.NewlyCached.emplace_back(At.Who.Id, Parts[Index]);
  }
}

void FleetModel::report(unsigned From) {
  Gateway &Sender = *m_Gateways[From];
  const auto Loads = Sender.Loads.localLoads();
  const auto Cached = std::exchange(Sender.NewlyCached, {});
  const std::string Name = std::to_string(From);
  for (unsigned To = 0; To < m_Options.Gateways; ++To) {
    if (To == From)
      continue;
    LoadTracker &Known = m_Gateways[To]->Loads;
    Known.recordPeerReport(Name, Loads, m_Now);
    for (const auto &[Id, Part] : Cached)
      Known.cache(Id).insert(Part);
  }
  after(m_Options.ReportInterval, [this, From] { report(From); });
}

} // namespace figlift::dispatch::test
