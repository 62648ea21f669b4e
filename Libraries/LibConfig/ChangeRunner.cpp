//===- ChangeRunner.cpp - Carries a change out ----------------------------===//
//
// Waits for each answer of the table, which every call gives within its
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

/// Calls \p Ask with a callback and waits until it was called.
template <typename T>
Result<T> awaited(const std::function<void(Callback<T>)> &Ask) {
  auto Promise = std::make_shared<std::promise<Result<T>>>();
  auto Answer = Promise->get_future();
  Ask([Promise](Result<T> Value) { Promise->set_value(std::move(Value)); });
  return Answer.get();
}

/// Performs the actions of a writer; the result of each is its next event.
class Performer {
public:
  Performer(Table &Table,
            const std::function<void(std::chrono::milliseconds)> &Pause)
      : m_Table(Table), m_Pause(Pause) {}

  writer::Event operator()(const writer::ReadRows &What) {
    if (What.Delay > std::chrono::milliseconds::zero())
      m_Pause(What.Delay);
    writer::RowsRead Found;
    for (const std::string &Key : What.Keys) {
      auto Read = awaited<Row>(
          [&](Callback<Row> Done) { m_Table.read(Key, std::move(Done)); });
      if (!Read)
        return writer::ReadFailed{};
      Found.Rows.push_back(std::move(Read).value());
    }
    return Found;
  }

  writer::Event operator()(const writer::Commit &What) {
    auto Done = awaited<std::monostate>([&](Callback<std::monostate> Finished) {
      m_Table.commit(What.What, std::move(Finished));
    });
    if (Done)
      return writer::Committed{};
    return writer::Committed{Done.error().Code, Done.error().Message};
  }

  writer::Event operator()(const writer::Finish &What) {
    Outcome = What.Outcome;
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
  Performer Perform(Table, Pause);
  writer::Event Next = writer::Begin{};
  while (!Perform.Outcome) {
    auto Actions = Writer.step(Next, BootClock::now());
    if (Actions.size() != 1)
      return failure(ResultCode::Internal, "the change came to a standstill");
    Next = std::visit(Perform, Actions.front());
  }
  return *Perform.Outcome;
}

} // namespace figlift::config
