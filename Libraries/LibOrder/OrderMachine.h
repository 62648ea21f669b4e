//===- OrderMachine.h - Orders to one target --------------------*- C++ -*-===//
//
// The agent's side of planners' orders: the only writer to its engine, one
// order at a time, each recorded in the table before the engine hears of it.
// A successor in the slot finishes what its predecessor began.
//
// The shell runs one machine per target, and only after it has bound the
// agent's port: that binding proves that no predecessor still sends.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibOrder/OrderTypes.h"

#include <chrono>
#include <deque>
#include <span>
#include <string_view>

namespace figlift::order {

enum class State {
  /// Learns the rows and the engine's state, and waits until an order of the
  /// predecessor that may be in flight has settled.
  Recovering,
  Idle,
  /// Reads both rows for an order that was received.
  CheckingAuthority,
  WritingIntent,
  Draining,
  Sending,
  /// Reads the engine back until the order's end is known.
  Settling,
  WritingCompletion,
};
inline constexpr size_t StateCount = 8;

struct OrderOptions {
  /// How long an order without an answer may still be on its way to the
  /// engine: longer than any connection or queue holds one back.
  std::chrono::milliseconds SettleTime{2000};
  /// Interval of reading the engine or retrying the store.
  std::chrono::milliseconds PollInterval{200};
  /// How often the engine is given an order that does not take before the
  /// order is abandoned.
  unsigned MaximumSends = 5;
};

/// Whether a pair of state and event can arise, for the fault matrix.
enum class Handling {
  /// The machine acts on it or notes it.
  Handled,
  /// Can arise, changes nothing.
  Ignored,
  /// Cannot arise with a shell that keeps to the interface; ignored too.
  Unexpected,
};

struct Transition {
  State From;
  EventKind What;
  Handling How;
  std::string_view Description;
};

/// One row for every pair of state and event kind.
std::span<const Transition> transitionTable();

std::string_view name(State Which);
std::string_view name(EventKind Which);

class OrderMachine {
public:
  explicit OrderMachine(OrderOptions Options = {});

  /// Called once before any event: begins the recovery.
  std::vector<Action> start(BootTime Now);
  std::vector<Action> step(const Event &What, BootTime Now);

  State state() const { return m_State; }
  bool admissionOpen() const { return m_AdmissionOpen; }
  /// Lowest epoch whose orders are still accepted, as far as known.
  uint64_t highestEpoch() const { return m_HighestEpoch; }
  /// Order in progress, or null.
  const Order *current() const { return m_Current ? &*m_Current : nullptr; }

  /// Passes every member that decides what the machine does next to \p Put, so
  /// that an exhaustive exploration recognises a state it has seen.
  template <typename Sink> void describe(Sink &&Put) const {
    Put(m_State, m_Store, m_Engine, m_AdmissionOpen, m_RowsKnown);
    Put(m_HighestEpoch, m_RowVersion, m_LeaseVersion, m_Fence);
    Put(m_Row.has_value(), m_Current.has_value(), m_LastEngine.has_value());
    if (m_Row)
      Put(m_Row->What.Id, m_Row->State);
    if (m_Current)
      Put(m_Current->Id);
    if (m_LastEngine)
      Put(m_LastEngine->Boot, m_LastEngine->Role, m_LastEngine->OrderId);
    Put(m_Callers.size(), m_Book.size(), m_End, m_IntentInDoubt, m_Rejected,
        m_RowTakenOver);
    Put(m_Sends, m_SettledAt, m_NextPoll);
    Put(m_EngineReadSent);
  }

private:
  using Actions = std::vector<Action>;
  struct Context {
    BootTime Now;
    Actions &Out;
  };
  enum class Store { Free, Reading, Committing };
  enum class Engine { Free, Reading, Sending };

  void on(const Tick &, Context &C);
  void on(const OrderReceived &, Context &C);
  void on(const IntentRowRead &, Context &C);
  void on(const IntentRowReadFailed &, Context &C);
  void on(const CommitSucceeded &, Context &C);
  void on(const CommitConflicted &, Context &C);
  void on(const CommitOutcomeUnknown &, Context &C);
  void on(const CommitFailed &, Context &C);
  void on(const Drained &, Context &C);
  void on(const DrainTimedOut &, Context &C);
  void on(const EngineStateRead &, Context &C);
  void on(const EngineUnreachable &, Context &C);
  void on(const EngineAccepted &, Context &C);
  void on(const EngineRejected &, Context &C);
  void on(const EngineBusy &, Context &C);
  void on(const EngineNotReached &, Context &C);
  void on(const EngineOutcomeUnknown &, Context &C);

  void readRows(Context &C);
  void readEngine(Context &C);
  void refuse(Context &C, ResultCode Code);
  void openAdmission(Context &C);
  void rowsForOrder(const IntentRowRead &Rows, Context &C);
  void rowsAtCompletion(const IntentRowRead &Rows, Context &C);
  void commitIntent(Context &C);
  void commitCompletion(Context &C);
  void accept(Context &C);
  void drain(Context &C);
  void takeRowOver(Context &C);
  void send(Context &C);
  void sendingAnswered(Context &C);
  void settle(const EngineState &Engine, Context &C);
  bool settled() const;
  void recover(const EngineState &Engine, Context &C);
  void complete(IntentState End, Context &C);
  void becomeIdle(Context &C);
  void reply(Context &C, ResultCode Code, OrderProgress Progress);
  bool answerFromBook(const OrderReceived &Call, Context &C);
  void report(Context &C);

  OrderOptions m_Options;
  State m_State = State::Recovering;
  Store m_Store = Store::Free;
  Engine m_Engine = Engine::Free;
  bool m_AdmissionOpen = false;
  /// False until the rows have been read once; no order is taken before.
  bool m_RowsKnown = false;
  uint64_t m_HighestEpoch = 0;
  /// Version of the order row that the next commit expects.
  uint64_t m_RowVersion = 0;
  uint64_t m_LeaseVersion = 0;
  /// Content of the order row as last known.
  std::optional<IntentRow> m_Row;
  /// Version of the row that holds the intent of m_Current; its fence.
  uint64_t m_Fence = 0;
  std::optional<Order> m_Current;
  /// Streams that gave m_Current and have had no reply.
  std::vector<uint64_t> m_Callers;
  /// Ends of the last orders, newest last; bounded. Answers a planner that
  /// repeats an order after newer ones.
  std::deque<IntentRow> m_Book;
  /// End that CommitCompletionRow writes.
  IntentState m_End = IntentState::Done;
  /// A commit of the intent had no answer: it may still take effect, so
  /// m_Current may not be forgotten until the row or the lease has moved on.
  bool m_IntentInDoubt = false;
  /// This process wrote the row itself or again, so that no commit of a
  /// predecessor can change it any more.
  bool m_RowTakenOver = false;
  /// Order that was given up because requests did not end in time: the engine
  /// has not seen it, and the planner must not blame the model.
  std::string m_NotDrained;
  /// The engine refused m_Current for good.
  bool m_Rejected = false;
  std::optional<EngineState> m_LastEngine;
  unsigned m_Sends = 0;
  /// A copy of an order without an answer may reach the engine until then.
  BootTime m_SettledAt{};
  /// When the last reading of the engine was sent.
  BootTime m_EngineReadSent{};
  BootTime m_NextPoll{};
};

} // namespace figlift::order
