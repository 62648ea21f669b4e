//===- Orders.cpp - Planners' orders to the engine ------------------------===//
//
// The order machine makes the decisions; this class performs its I/O.
//
//===----------------------------------------------------------------------===//

#include "Orders.h"

#include "OrderRows.h"

#include "LibLog/Log.h"

namespace figlift::agent {

using timeline::SubjectType;

Orders::Orders(Context Shared, Dependencies Services, Observers Callbacks)
    : m_Shared(Shared), m_Dependencies(Services),
      m_Observers(std::move(Callbacks)) {}

void Orders::start() {
  perform(m_Machine.start(BootClock::now()));
  m_Shared.Loop.every(m_Shared.Settings.Target.LoadInterval,
                      [this] { pollEngine(); });
}

void Orders::step(const order::Event &Event) {
  perform(m_Machine.step(Event, BootClock::now()));
}

void Orders::perform(const std::vector<order::Action> &Actions) {
  for (const order::Action &Action : Actions)
    std::visit([this](const auto &Chosen) { perform(Chosen); }, Action);
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
  const bool ForThisTarget = Request.target() == m_Shared.Settings.Process.Id;
  const bool Complete =
      Request.order_case() != wire::OrderRequest::ORDER_NOT_SET &&
      !Request.order_id().empty();
  if (!ForThisTarget || !Complete)
    return perform(order::Reply{Stream, ResultCode::InvalidInput,
                                order::OrderProgress::Refused,
                                m_Machine.highestEpoch()});
  step(order::OrderReceived{
      Stream, {Request.order_id(), Request.epoch(), readChange(Request)}});
}

void Orders::tick() {
  step(order::Tick{});
  if (m_DrainDeadline && BootClock::now() >= *m_DrainDeadline) {
    m_DrainDeadline.reset();
    step(order::DrainTimedOut{});
  }
}

void Orders::onWorkEnded() {
  if (!m_DrainDeadline || m_Dependencies.Gate.inFlight() != 0)
    return;
  m_DrainDeadline.reset();
  step(order::Drained{});
}

std::string Orders::currentOrder() const {
  return m_Machine.current() ? m_Machine.current()->Id : std::string();
}

void Orders::perform(const order::ReadIntentRow &) {
  m_Dependencies.Store.read(
      orderRowKey(m_Shared.Settings.Process.Id),
      [this](Result<platform::Row> Row) { readLease(std::move(Row)); });
}

/// Reads the lease row after the order row, so that an epoch which was acquired
/// between the two reads is seen.
void Orders::readLease(Result<platform::Row> IntentRow) {
  auto OnFailure = [this] { step(order::IntentRowReadFailed{}); };
  if (!IntentRow)
    return m_Shared.Loop.post(OnFailure);
  const auto &Settings = m_Shared.Settings;
  m_Dependencies.Store.read(
      leaseRowKey(Settings.Target.BackEnd, Settings.Process.Region),
      [this, OnFailure,
       Intent = IntentRow.value()](Result<platform::Row> Lease) {
        if (!Lease)
          return m_Shared.Loop.post(OnFailure);
        const auto Row = readIntentRow(Intent.Value);
        const auto LeaseRow = readLeaseRow(Lease.value().Value);
        if (!Row || !LeaseRow)
          return m_Shared.Loop.post(OnFailure);
        const order::IntentRowRead Rows{
            Intent.Version, Row.value(), Lease.value().Version,
            LeaseRow.value().Epoch, !LeaseRow.value().Holder.empty()};
        m_Shared.Loop.post([this, Rows] { step(Rows); });
      });
}

static order::Event toCommitEvent(const Result<std::monostate> &Answer) {
  if (Answer)
    return order::CommitSucceeded{};
  if (Answer.error().Code == ResultCode::StoreConflict)
    return order::CommitConflicted{};
  if (Answer.error().Code == ResultCode::StoreUnavailable)
    return order::CommitFailed{};
  return order::CommitOutcomeUnknown{};
}

void Orders::commit(platform::Transaction Transaction) {
  m_Dependencies.Store.commit(
      std::move(Transaction), [this](const Result<std::monostate> &Answer) {
        m_Shared.Loop.post(
            [this, Event = toCommitEvent(Answer)] { step(Event); });
      });
}

void Orders::perform(const order::CommitIntentRow &Action) {
  const auto &Settings = m_Shared.Settings;
  const std::string Key = orderRowKey(Settings.Process.Id);
  commit({{{Key, Action.ExpectedVersion},
           {leaseRowKey(Settings.Target.BackEnd, Settings.Process.Region),
            Action.ExpectedLeaseVersion}},
          {{Key, writeIntentRow(Action.Row)}}});
}

void Orders::perform(const order::CommitCompletionRow &Action) {
  const std::string Key = orderRowKey(m_Shared.Settings.Process.Id);
  const bool Done = Action.Row.State == order::IntentState::Done;
  m_Shared.Events.record(Done ? timeline::kinds::OrderDone
                              : timeline::kinds::OrderAbandoned,
                         {SubjectType::Target, m_Shared.Settings.Process.Id},
                         {{"order", Action.Row.Intent.Id}});
  commit(
      {{{Key, Action.ExpectedVersion}}, {{Key, writeIntentRow(Action.Row)}}});
}

void Orders::perform(const order::CloseAdmission &) {
  m_DrainDeadline = BootClock::now() + m_Shared.Settings.Drain.Timeout;
  m_Observers.Admission(false);
  m_Shared.Loop.post([this] { onWorkEnded(); });
}

void Orders::perform(const order::OpenAdmission &) {
  m_Observers.Admission(true);
}

static order::EngineState toOrderState(const target::EngineState &Engine) {
  order::EngineState Result;
  Result.Boot = Engine.Boot;
  Result.Role = Engine.Role;
  Result.OrderId = Engine.OrderId;
  Result.OrderState = static_cast<order::EngineOrderState>(Engine.Order);
  for (const target::LoadedModel &Model : Engine.Models) {
    Result.Models.push_back({Model.Name, Model.Version, {}});
    for (const std::string &Adapter : Model.Adapters)
      Result.Models.push_back({Model.Name, Model.Version, Adapter});
  }
  return Result;
}

void Orders::perform(const order::ReadEngineState &) {
  m_Dependencies.Engine.state([this](const auto &Response) {
    m_Shared.Loop.post([this, Response] { onEngineState(true, Response); });
  });
}

void Orders::pollEngine() {
  m_Dependencies.Engine.state([this](const auto &Response) {
    m_Shared.Loop.post([this, Response] { onEngineState(false, Response); });
  });
}

void Orders::onEngineState(
    bool Requested, const target::CallResult<target::EngineState> &Response) {
  if (!Response) {
    if (m_Engine)
      m_Shared.Events.record(
          timeline::kinds::TargetDown,
          {SubjectType::Target, m_Shared.Settings.Process.Id});
    m_Engine.reset();
    if (Requested)
      step(order::EngineUnreachable{});
    return;
  }
  const order::EngineState State = toOrderState(Response.value());
  if (!m_Engine)
    m_Shared.Events.record(timeline::kinds::TargetUp,
                           {SubjectType::Target, m_Shared.Settings.Process.Id},
                           {{"boot", State.Boot}, {"role", State.Role}});
  if (!m_LastBoot.empty() && m_LastBoot != State.Boot)
    m_Observers.EngineRestarted();
  m_LastBoot = State.Boot;
  m_Engine = State;
  // A state that the machine did not request may be older than an order that
  // was sent meanwhile, so it is passed on only while the machine is idle.
  if (Requested || m_Machine.state() == order::State::Idle)
    step(order::EngineStateRead{State});
}

namespace {
struct OrderKindConverter {
  target::OrderKind operator()(const order::SetRole &Change) const {
    return target::SetRole{Change.Role};
  }
  target::OrderKind operator()(const order::LoadModel &Change) const {
    return target::LoadModel{Change.Model, Change.Version, Change.Adapter};
  }
  target::OrderKind operator()(const order::UnloadModel &Change) const {
    return target::UnloadModel{Change.Model, Change.Version, Change.Adapter};
  }
};
} // namespace

static order::Event
toOrderEvent(const target::CallResult<std::monostate> &Answer) {
  if (Answer)
    return order::EngineAccepted{};
  const target::CallError &CallError = Answer.error();
  if (CallError.Cause.Code == ResultCode::OrderConflict)
    return order::EngineBusy{};
  if (CallError.Executed != Execution::NotRun)
    return order::EngineOutcomeUnknown{};
  if (CallError.Cause.Code == ResultCode::TargetFailed)
    return order::EngineNotReached{};
  return order::EngineRejected{};
}

void Orders::perform(const order::SendToEngine &Action) {
  m_Shared.Events.record(
      timeline::kinds::OrderStarted,
      {SubjectType::Target, m_Shared.Settings.Process.Id},
      {{"order", Action.Payload.Id}, {"epoch", Action.Payload.Epoch}});
  target::OrderCall Call{
      Action.Payload.Id, Action.Fence,
      std::visit(OrderKindConverter{}, Action.Payload.RequestedChange)};
  m_Dependencies.Engine.order(std::move(Call), [this](const auto &Answer) {
    m_Shared.Loop.post([this, Event = toOrderEvent(Answer)] { step(Event); });
  });
}

static const char *progressName(order::OrderProgress Progress) {
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

void Orders::perform(const order::Reply &Action) {
  const auto &CodeInfo = resultCodeInfo(Action.Code);
  if (Action.Progress == order::OrderProgress::Refused)
    m_Shared.Events.record(timeline::kinds::OrderRefused,
                           {SubjectType::Target, m_Shared.Settings.Process.Id},
                           {{"code", static_cast<int>(Action.Code)}});
  wire::OrderReply Reply;
  Reply.set_code(static_cast<uint32_t>(Action.Code));
  Reply.set_message(std::string(CodeInfo.Meaning));
  Reply.set_highest_epoch(Action.HighestEpoch);
  Reply.set_state(progressName(Action.Progress));
  Reply.set_clock(m_Shared.Events.clockToSend());
  m_Dependencies.Writer.send(Action.Token, Reply);
  m_Dependencies.Writer.finish(Action.Token);
}

void Orders::perform(const order::ReportEngineState &Action) {
  log::logEvent(log::Level::Info, "engine-settled",
                {{"role", Action.State.Role},
                 {"boot", Action.State.Boot},
                 {"matches-intent", Action.MatchesIntent}});
}

} // namespace figlift::agent
