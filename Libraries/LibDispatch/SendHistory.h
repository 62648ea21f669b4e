//===- SendHistory.h - Everything that one request was sent -----*- C++ -*-===//
//
// Records each send of one request to a server and how it ended. What the
// request may have caused is read from here only: how often it may have run,
// and so whether its caller may be told that it has not.
//
// A send counts as a run from its beginning until a proof of the contrary is
// recorded for this very send. Whatever is forgotten or goes wrong therefore
// costs a promise that could have been made, and never makes a false one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/SendOutcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace figlift::dispatch {

enum class SendPurpose {
  /// The server computes the prompt and keeps its KV cache; the request is not
  /// executed.
  Prefill,
  /// The server executes the request.
  Execute,
};

/// One send of a request.
struct SendRecord {
  SendPurpose Purpose = SendPurpose::Execute;
  std::string TargetId;
  /// Identifies the connection that carried it; 0 for none.
  uint64_t Connection = 0;
  /// Number of the exchange on that connection, from 1.
  uint64_t Exchange = 0;
  /// Empty while it is in progress, and if it was answered or canceled.
  /// Never changes once it is set.
  std::optional<SendOutcome> Outcome = std::nullopt;
  /// The server has executed the request, whatever it was asked for.
  bool HasRun = false;

  bool hasArrived() const {
    return !Outcome || !std::holds_alternative<NotSent>(*Outcome);
  }
  bool mayHaveRun() const {
    return HasRun || (Purpose == SendPurpose::Execute &&
                      (!Outcome || dispatch::mayHaveRun(*Outcome)));
  }
};

/// What a statement that the request has not run rests on, in the order of
/// their weight.
enum class NotRunBasis { NeverSent, NoConnection, OnlyPrefilled, Rejected };

/// Short text for the log and the metrics.
std::string_view describe(NotRunBasis Basis);

/// Errors of a request itself; it is never sent.
enum class RequestError : unsigned {
  Invalid = 400,
  Unauthenticated = 401,
  NoRoute = 404,
};

/// Why there is no answer of a server.
enum class MissingAnswer { Lost, TimedOut };

/// Status of a response that the gateway generates itself. One that promises
/// "not run" can only come from SendHistory.
class ErrorStatus {
public:
  ErrorStatus(RequestError Error) : m_Code(static_cast<unsigned>(Error)) {}

  unsigned code() const { return m_Code; }
  bool promisesNotRun() const { return dispatch::promisesNotRun(m_Code); }

private:
  friend class SendHistory;
  explicit ErrorStatus(unsigned Code) : m_Code(Code) {}

  unsigned m_Code;
};

/// The request has not run and never will; the caller may retry.
inline constexpr unsigned NotRunStatus = 503;
/// The request may have run; the server's answer was lost.
inline constexpr unsigned OutcomeUnknownStatus = 502;
/// The request may have run; there was no answer in time.
inline constexpr unsigned TimedOutStatus = 504;

class SendHistory {
public:
  using SendNumber = size_t;

  /// Must be called before any byte may leave.
  SendNumber begin(SendPurpose Purpose, std::string TargetId);
  void recordConnection(SendNumber Number, uint64_t Connection,
                        uint64_t Exchange);
  /// The answer shows that the server has executed the request, although it was
  /// asked for a prefill.
  void recordRun(SendNumber Number);
  /// Whether a send of this request went over the connection.
  bool hasUsed(uint64_t Connection) const;
  /// Records how the send ended. The first outcome of a send stays.
  void end(SendNumber Number, const SendOutcome &Outcome);

  const SendRecord &at(SendNumber Number) const { return m_Sends[Number]; }
  /// All sends, including those that did not reach a server.
  unsigned sends() const { return static_cast<unsigned>(m_Sends.size()); }
  /// Sends that count towards the maximum of a request: all but those whose
  /// attempt to connect failed.
  unsigned countedSends() const;
  /// Sends that may have executed the request.
  unsigned executions() const;
  /// Sends for \p Purpose that may have reached a server.
  unsigned arrivals(SendPurpose Purpose) const;
  /// What "not run" rests on; empty if the request may have run.
  std::optional<NotRunBasis> notRunBasis() const;
  /// Status for the caller of a request that gets no answer of a server.
  /// NotRunStatus only if every send of the request is proven not to have run
  /// it.
  ErrorStatus errorStatus(MissingAnswer Reason = MissingAnswer::Lost) const;
  /// All sends in order, for the log: "run s1 17/2 rejected, not run; run s2
  /// 19/1 broke off", with connection and exchange.
  std::string describe() const;

private:
  /// In the order in which they began; none is ever removed.
  std::vector<SendRecord> m_Sends;
};

} // namespace figlift::dispatch
