//===- ChangeRunner.cpp - Executes a configuration change -----------------===//
//
// Waits for each result of the table, which every call delivers within its
// timeout.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/ChangeRunner.h"

#include <future>

namespace figlift::config {

using platform::Callback;
using platform::Row;
using platform::Table;

namespace {

/// Starts an asynchronous call and waits for its result.
template <typename T>
Result<T> waitFor(const std::function<void(Callback<T>)> &Start) {
  auto Promise = std::make_shared<std::promise<Result<T>>>();
  auto Future = Promise->get_future();
  Start([Promise](Result<T> Value) { Promise->set_value(std::move(Value)); });
  return Future.get();
}

/// Performs the actions of a writer; the result of each is its next event.
class ActionPerformer {
public:
  ActionPerformer(Table &Table,
                  const std::function<void(std::chrono::milliseconds)> &Pause)
      : m_Table(Table), m_Pause(Pause) {}

  writer::Event operator()(const writer::ReadRows &Action) {
    if (Action.Delay > std::chrono::milliseconds::zero())
      m_Pause(Action.Delay);
    writer::RowsRead Event;
    for (const std::string &Key : Action.Keys) {
      auto Read = waitFor<Row>(
          [&](Callback<Row> Done) { m_Table.read(Key, std::move(Done)); });
      if (!Read)
        return writer::ReadFailed{};
      Event.Rows.push_back(std::move(Read).value());
    }
    return Event;
  }

  writer::Event operator()(const writer::Commit &Action) {
    auto Committed =
        waitFor<std::monostate>([&](Callback<std::monostate> Done) {
          m_Table.commit(Action.Transaction, std::move(Done));
        });
    if (Committed)
      return writer::Committed{};
    return writer::Committed{Committed.error().Code, Committed.error().Message};
  }

  writer::Event operator()(const writer::Finish &Action) {
    Outcome = Action.Outcome;
    return writer::Begin{};
  }

  std::optional<Result<ChangeOutcome>> Outcome;

private:
  Table &m_Table;
  const std::function<void(std::chrono::milliseconds)> &m_Pause;
};

} // namespace

Result<ChangeOutcome>
applyChange(Table &Table, ChangeRequest Request, WriterOptions Options,
            const std::function<void(std::chrono::milliseconds)> &Pause) {
  ConfigWriter Writer(std::move(Request), Options);
  ActionPerformer Perform(Table, Pause);
  writer::Event Next = writer::Begin{};
  while (!Perform.Outcome) {
    auto Actions = Writer.step(Next, BootClock::now());
    if (Actions.size() != 1)
      return failure(ResultCode::Internal,
                     "the configuration writer returned no action");
    Next = std::visit(Perform, Actions.front());
  }
  return *Perform.Outcome;
}

} // namespace figlift::config
