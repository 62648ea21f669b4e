//===- OrderMachine.h - Executes orders at one target -----------*- C++ -*-===//
//
// State machine by which the agent executes planners' orders. It is the only
// writer to its engine, runs one order at a time, and records each order in the
// table before sending it to the engine. A restarted agent completes the order
// that its predecessor began.
//
// The agent runs one machine per target, and only after it has bound its port:
// a successful bind proves that no predecessor is still sending.
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
  /// Reads the rows and the engine's state, and waits until an order of the
  /// predecessor that may still be in flight has settled.
  Recovering,
  Idle,
  /// Reads both rows for a received order.
  CheckingAuthority,
  WritingIntent,
  Draining,
  Sending,
  /// Polls the engine until the outcome of the order is known.
  Settling,
  WritingCompletion,
};
inline constexpr size_t StateCount = 8;

struct OrderOptions {
  /// How long an unacknowledged order may still be in flight to the engine.
  /// Exceeds the longest delay of any connection or queue.
  std::chrono::milliseconds SettleTime{2000};
  /// Interval between reads of the engine and between retries at the store.
  std::chrono::milliseconds PollInterval{200};
  /// Number of times an order without effect is sent before it is abandoned.
  unsigned MaximumSends = 5;
};

/// Whether a pair of state and event can occur, for the fault matrix.
enum class Handling {
  /// The machine acts on the event or records it.
  Handled,
  /// Can occur and has no effect.
  Ignored,
  /// Cannot occur if the agent follows the interface; has no effect.
  Unexpected,
};

struct Transition {
  State Source;
  EventKind Trigger;
  Handling Expected;
  std::string_view Description;
};

/// One row for every pair of state and event kind.
std::span<const Transition> transitionTable();

std::string_view name(State State);
std::string_view name(EventKind Kind);

class OrderMachine {
public:
  explicit OrderMachine(OrderOptions Options = {});

  /// Begins recovery. Called once, before any event.
  std::vector<Action> start(BootTime Now);
  std::vector<Action> step(const Event &Event, BootTime Now);

  State state() const { return m_State; }
  bool admissionOpen() const { return m_AdmissionOpen; }
  /// Highest epoch seen so far; orders with a lower epoch are rejected.
  uint64_t highestEpoch() const { return m_HighestEpoch; }
  /// The order in progress, or null.
  const Order *current() const { return m_Current ? &*m_Current : nullptr; }

  /// Passes every member that affects later transitions to \p Put, so that an
  /// exhaustive exploration recognises a state that it has already visited.
  template <typename Sink> void describe(Sink &&Put) const {
    Put(m_State, m_Store, m_Engine, m_AdmissionOpen, m_RowsKnown);
    Put(m_HighestEpoch, m_RowVersion, m_LeaseVersion, m_Fence);
    Put(m_Row.has_value(), m_Current.has_value(),
        m_LastEngineState.has_value());
    if (m_Row)
      Put(m_Row->Intent.Id, m_Row->State);
    if (m_Current)
      Put(m_Current->Id);
    if (m_LastEngineState)
      Put(m_LastEngineState->Boot, m_LastEngineState->Role,
          m_LastEngineState->OrderId);
    Put(m_WaitingTokens.size(), m_History.size(), m_FinalState,
        m_IntentOutcomeUnknown, m_Rejected, m_RowTakenOver);
    Put(m_SendCount, m_SettledAt, m_NextPoll);
    Put(m_EngineReadSentAt);
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
  void authorizeOrder(const IntentRowRead &Rows, Context &C);
  void confirmCompletion(const IntentRowRead &Rows, Context &C);
  void commitIntent(Context &C);
  void commitCompletion(Context &C);
  void accept(Context &C);
  void drain(Context &C);
  void takeOverRow(Context &C);
  void send(Context &C);
  void sendCompleted(Context &C);
  void settle(const EngineState &Reported, Context &C);
  bool settled() const;
  void recover(const EngineState &Reported, Context &C);
  void complete(IntentState FinalState, Context &C);
  void becomeIdle(Context &C);
  void reply(Context &C, ResultCode Code, OrderProgress Progress);
  bool replyFromHistory(const OrderReceived &Received, Context &C);
  void report(Context &C);

  OrderOptions m_Options;
  State m_State = State::Recovering;
  Store m_Store = Store::Free;
  Engine m_Engine = Engine::Free;
  bool m_AdmissionOpen = false;
  /// False until the rows have been read once; no order is accepted before.
  bool m_RowsKnown = false;
  uint64_t m_HighestEpoch = 0;
  /// Version of the order row that the next commit expects.
  uint64_t m_RowVersion = 0;
  uint64_t m_LeaseVersion = 0;
  /// Content of the order row as last read or written.
  std::optional<IntentRow> m_Row;
  /// Fencing token of m_Current: the version of the row that holds its intent.
  uint64_t m_Fence = 0;
  std::optional<Order> m_Current;
  /// Streams that sent m_Current and have not received a reply.
  std::vector<uint64_t> m_WaitingTokens;
  /// The last completed orders, newest last, up to HistorySize. Used to reply
  /// to a planner that retries an order after newer ones have run.
  std::deque<IntentRow> m_History;
  /// Final state that CommitCompletionRow writes.
  IntentState m_FinalState = IntentState::Done;
  /// A commit of the intent got no response and may still take effect, so
  /// m_Current must be kept until the version of the order row or of the lease
  /// row has changed.
  bool m_IntentOutcomeUnknown = false;
  /// This process has written the row, so a pending commit of a predecessor
  /// fails its version condition.
  bool m_RowTakenOver = false;
  /// Id of the order that was abandoned because the drain timed out. The engine
  /// never received it, so the planner must not treat the model as faulty.
  std::string m_UndrainedOrderId;
  /// The engine rejected m_Current permanently.
  bool m_Rejected = false;
  std::optional<EngineState> m_LastEngineState;
  unsigned m_SendCount = 0;
  /// Until then, a copy of an unacknowledged order may reach the engine.
  BootTime m_SettledAt{};
  /// When the last read of the engine's state was sent.
  BootTime m_EngineReadSentAt{};
  BootTime m_NextPoll{};
};

} // namespace figlift::order
