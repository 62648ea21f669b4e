//===- Orders.cpp - Planners' orders to the engine ------------------------===//
//
// The decisions are the order machine's; here is only its input and output.
//
//===----------------------------------------------------------------------===//

#include "Orders.h"

#include "OrderRows.h"

#include "LibLog/Log.h"

namespace figlift::agent {

using timeline::SubjectType;

Orders::Orders(Context Shared, Parts Of, Observers Told)
    : m_Shared(Shared), m_Parts(Of), m_Told(std::move(Told)) {}

void Orders::start() {
  carryOut(m_Machine.start(BootClock::now()));
  m_Shared.Decisions.every(m_Shared.Settings.Target.LoadInterval,
                           [this] { watchEngine(); });
}

void Orders::step(const order::Event &What) {
  carryOut(m_Machine.step(What, BootClock::now()));
}

void Orders::carryOut(const std::vector<order::Action> &Actions) {
  for (const order::Action &Next : Actions)
    std::visit([this](const auto &Which) { act(Which); }, Next);
}

static order::Change readChange(const wire::OrderRequest &Request) {
  if (Request.has_set_role())
    return order::SetRole{Request.set_role().role()};
  if (Request.has_load_model())
    return order::LoadModel{Request.load_model().model(),
                            Request.load_model().version(),
                            Request.load_model().adapter()};
  return order::UnloadModel{Request.unload_model().model(),
                            Request.unload_model().version(),
                            Request.unload_model().adapter()};
}

void Orders::onOrder(StreamId Stream, const wire::OrderRequest &Request) {
  m_Shared.Events.record(
      timeline::kinds::OrderReceived,
      {SubjectType::Target, m_Shared.Settings.Process.Id},
      {{"order", Request.order_id()}, {"epoch", Request.epoch()}});
  const bool ForUs = Request.target() == m_Shared.Settings.Process.Id;
  const bool Whole =
      Request.order_case() != wire::OrderRequest::ORDER_NOT_SET &&
      !Request.order_id().empty();
  if (!ForUs || !Whole)
    return act(order::Reply{Stream, ResultCode::InvalidInput,
                            order::OrderProgress::Refused,
                            m_Machine.highestEpoch()});
  step(order::OrderReceived{
      Stream, {Request.order_id(), Request.epoch(), readChange(Request)}});
}

void Orders::tick() {
  step(order::Tick{});
  if (m_DrainUntil && BootClock::now() >= *m_DrainUntil) {
    m_DrainUntil.reset();
    step(order::DrainTimedOut{});
  }
}

void Orders::workLeft() {
  if (!m_DrainUntil || m_Parts.Way.inFlight() != 0)
    return;
  m_DrainUntil.reset();
  step(order::Drained{});
}

std::string Orders::currentOrder() const {
  return m_Machine.current() ? m_Machine.current()->Id : std::string();
}

void Orders::act(const order::ReadIntentRow &) {
  m_Parts.Store.read(
      orderRowKey(m_Shared.Settings.Process.Id),
      [this](Result<platform::Row> Read) { readLease(std::move(Read)); });
}

/// The lease row is read after the order row: an epoch that was taken in
/// between is then seen, never missed.
void Orders::readLease(Result<platform::Row> IntentRow) {
  auto Failed = [this] { step(order::IntentRowReadFailed{}); };
  if (!IntentRow)
    return m_Shared.Decisions.post(Failed);
  const auto &Settings = m_Shared.Settings;
  m_Parts.Store.read(
      leaseRowKey(Settings.Target.BackEnd, Settings.Process.Region),
      [this, Failed, Intent = IntentRow.value()](Result<platform::Row> Lease) {
        if (!Lease)
          return m_Shared.Decisions.post(Failed);
        const auto Row = readIntentRow(Intent.Value);
        const auto Held = readLeaseRow(Lease.value().Value);
        if (!Row || !Held)
          return m_Shared.Decisions.post(Failed);
        const order::IntentRowRead Read{
            Intent.Version, Row.value(), Lease.value().Version,
            Held.value().Epoch, !Held.value().Holder.empty()};
        m_Shared.Decisions.post([this, Read] { step(Read); });
      });
}

static order::Event readCommit(const Result<std::monostate> &Answer) {
  if (Answer)
    return order::CommitSucceeded{};
  if (Answer.error().Code == ResultCode::StoreConflict)
    return order::CommitConflicted{};
  if (Answer.error().Code == ResultCode::StoreUnavailable)
    return order::CommitFailed{};
  return order::CommitOutcomeUnknown{};
}

void Orders::commit(platform::Transaction What) {
  m_Parts.Store.commit(
      std::move(What), [this](const Result<std::monostate> &Answer) {
        m_Shared.Decisions.post(
            [this, Event = readCommit(Answer)] { step(Event); });
      });
}

void Orders::act(const order::CommitIntentRow &What) {
  const auto &Settings = m_Shared.Settings;
  const std::string Key = orderRowKey(Settings.Process.Id);
  commit({{{Key, What.ExpectedVersion},
           {leaseRowKey(Settings.Target.BackEnd, Settings.Process.Region),
            What.ExpectedLeaseVersion}},
          {{Key, writeIntentRow(What.Row)}}});
}

void Orders::act(const order::CommitCompletionRow &What) {
  const std::string Key = orderRowKey(m_Shared.Settings.Process.Id);
  const bool Done = What.Row.State == order::IntentState::Done;
  m_Shared.Events.record(Done ? timeline::kinds::OrderDone
                              : timeline::kinds::OrderAbandoned,
                         {SubjectType::Target, m_Shared.Settings.Process.Id},
                         {{"order", What.Row.Intent.Id}});
  commit({{{Key, What.ExpectedVersion}}, {{Key, writeIntentRow(What.Row)}}});
}

void Orders::act(const order::CloseAdmission &) {
  m_DrainUntil = BootClock::now() + m_Shared.Settings.Drain.Timeout;
  m_Told.Admission(false);
  m_Shared.Decisions.post([this] { workLeft(); });
}

void Orders::act(const order::OpenAdmission &) { m_Told.Admission(true); }

static order::EngineState toOrderState(const target::EngineState &From) {
  order::EngineState Out;
  Out.Boot = From.Boot;
  Out.Role = From.Role;
  Out.OrderId = From.OrderId;
  Out.OrderState = static_cast<order::EngineOrderState>(From.Order);
  for (const target::LoadedModel &Model : From.Models) {
    Out.Models.push_back({Model.Name, Model.Version, {}});
    for (const std::string &Adapter : Model.Adapters)
      Out.Models.push_back({Model.Name, Model.Version, Adapter});
  }
  return Out;
}

void Orders::act(const order::ReadEngineState &) {
  m_Parts.Engine.state([this](const auto &Read) {
    m_Shared.Decisions.post([this, Read] { engineAnswered(true, Read); });
  });
}

void Orders::watchEngine() {
  m_Parts.Engine.state([this](const auto &Read) {
    m_Shared.Decisions.post([this, Read] { engineAnswered(false, Read); });
  });
}

void Orders::engineAnswered(
    bool Asked, const target::CallResult<target::EngineState> &Read) {
  if (!Read) {
    if (m_Engine)
      m_Shared.Events.record(
          timeline::kinds::TargetDown,
          {SubjectType::Target, m_Shared.Settings.Process.Id});
    m_Engine.reset();
    if (Asked)
      step(order::EngineUnreachable{});
    return;
  }
  const order::EngineState State = toOrderState(Read.value());
  if (!m_Engine)
    m_Shared.Events.record(timeline::kinds::TargetUp,
                           {SubjectType::Target, m_Shared.Settings.Process.Id},
                           {{"boot", State.Boot}, {"role", State.Role}});
  if (!m_LastBoot.empty() && m_LastBoot != State.Boot)
    m_Told.EngineRestarted();
  m_LastBoot = State.Boot;
  m_Engine = State;
  // A reading that the machine did not ask for could overtake an order; only
  // an idle machine may hear of it.
  if (Asked || m_Machine.state() == order::State::Idle)
    step(order::EngineStateRead{State});
}

namespace {
struct KindReader {
  target::OrderKind operator()(const order::SetRole &What) const {
    return target::SetRole{What.Role};
  }
  target::OrderKind operator()(const order::LoadModel &What) const {
    return target::LoadModel{What.Model, What.Version, What.Adapter};
  }
  target::OrderKind operator()(const order::UnloadModel &What) const {
    return target::UnloadModel{What.Model, What.Version, What.Adapter};
  }
};
} // namespace

static order::Event
readOrderAnswer(const target::CallResult<std::monostate> &Answer) {
  if (Answer)
    return order::EngineAccepted{};
  const target::CallError &Fault = Answer.error();
  if (Fault.Cause.Code == ResultCode::OrderConflict)
    return order::EngineBusy{};
  if (Fault.Executed != Execution::NotRun)
    return order::EngineOutcomeUnknown{};
  if (Fault.Cause.Code == ResultCode::TargetFailed)
    return order::EngineNotReached{};
  return order::EngineRejected{};
}

void Orders::act(const order::SendToEngine &What) {
  m_Shared.Events.record(
      timeline::kinds::OrderStarted,
      {SubjectType::Target, m_Shared.Settings.Process.Id},
      {{"order", What.Payload.Id}, {"epoch", What.Payload.Epoch}});
  target::OrderCall Call{
      What.Payload.Id, What.Fence,
      std::visit(KindReader{}, What.Payload.RequestedChange)};
  m_Parts.Engine.order(std::move(Call), [this](const auto &Answer) {
    m_Shared.Decisions.post(
        [this, Event = readOrderAnswer(Answer)] { step(Event); });
  });
}

static const char *nameOf(order::OrderProgress Progress) {
  switch (Progress) {
  case order::OrderProgress::Refused:
    return "refused";
  case order::OrderProgress::Running:
    return "running";
  case order::OrderProgress::Done:
    return "done";
  case order::OrderProgress::Failed:
    return "failed";
  }
  return "refused";
}

void Orders::act(const order::Reply &What) {
  const auto &Row = resultCodeInfo(What.Code);
  if (What.Progress == order::OrderProgress::Refused)
    m_Shared.Events.record(timeline::kinds::OrderRefused,
                           {SubjectType::Target, m_Shared.Settings.Process.Id},
                           {{"code", static_cast<int>(What.Code)}});
  wire::OrderReply Out;
  Out.set_code(static_cast<uint32_t>(What.Code));
  Out.set_message(std::string(Row.Meaning));
  Out.set_highest_epoch(What.HighestEpoch);
  Out.set_state(nameOf(What.Progress));
  Out.set_clock(m_Shared.Events.clockToSend());
  m_Parts.Back.send(What.Token, Out);
  m_Parts.Back.finish(What.Token);
}

void Orders::act(const order::ReportEngineState &What) {
  log::logEvent(log::Level::Info, "engine-settled",
                {{"role", What.State.Role},
                 {"boot", What.State.Boot},
                 {"matches-intent", What.MatchesIntent}});
}

} // namespace figlift::agent
