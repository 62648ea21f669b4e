//===- ServerSend.h - One attempt to send a request to a server -*- C++ -*-===//
//
// Sends a request, or its prefill, to one server and verifies that the response
// belongs to it: by the echoed id and, for a success, by the signature. The id
// is that of the request, not of the send, so that no connection carries a
// request twice: it might still deliver a copy of the answer to the first send.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "LibDispatch/SendHistory.h"
#include "LibProxy/BodyBuffer.h"
#include "platform/Headers.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::gateway {

using dispatch::SendPurpose;

class ServerSend;

class SendOwner {
public:
  virtual ~SendOwner() = default;
  /// Called before sendAnswered() if a server executes the request although it
  /// was asked for a prefill. The send is an execution from here on.
  virtual void prefillRuns(ServerSend &Send) = 0;
  /// Called for the head of a verified successful response to an execution.
  virtual void sendAnswered(ServerSend &Send) = 0;
  /// Called with body bytes after sendAnswered.
  virtual void sendBody(ServerSend &Send, std::string Bytes) = 0;
  /// Asked when a response whose body was passed to sendBody is complete by
  /// its framing. If false, the server broke off.
  virtual bool isWholeBody(ServerSend &Send) = 0;
  /// Called after a complete success. takeBody() returns the body unless it was
  /// passed to sendBody.
  virtual void sendCompleted(ServerSend &Send) = 0;
  virtual void sendEnded(ServerSend &Send, dispatch::SendOutcome End) = 0;
  virtual bool wantsMore() const = 0;
  /// Asked before the request is written to a new connection.
  virtual bool maySend() const = 0;
};

class ServerSend : public upstream::ExchangeSink,
                   public std::enable_shared_from_this<ServerSend> {
public:
  ServerSend(Context &Shared, SendOwner &Owner, std::string TargetId,
             SendPurpose Purpose, std::string AttemptId,
             dispatch::SendHistory::SendNumber Number);

  /// Takes a connection that has not carried any send of \p History, records
  /// it there, and sends the request. Returns false without sending if the pool
  /// of the server is exhausted.
  bool start(std::string Head, upstream::SharedBody Body, dispatch::Work Work,
             dispatch::SendHistory &History);
  /// Closes the connection, which also cancels the work at the server.
  void cancel();
  void resumeReading();
  bool hasUnreadInput() const {
    return m_Connection && m_Connection->hasUnreadInput();
  }
  /// Passes body bytes to the owner as they arrive.
  void streamBody() { m_Streamed = true; }
  /// Ends the attempt because the server sends what cannot become an answer.
  /// \p Reason is for the log and the metrics.
  void breakOff(std::string_view Reason);
  /// Counts bytes of the answer that the owner holds. Returns false if there is
  /// no room for them.
  bool holdBytes(size_t Count) { return m_Memory.resize(Count); }
  /// Records the latency of the first part of the response.
  void recordLatency();

  const std::string &targetId() const { return m_TargetId; }
  SendPurpose purpose() const { return m_Purpose; }
  /// Of this send in the history of its request.
  dispatch::SendHistory::SendNumber number() const { return m_Number; }
  const proxy::ResponseHead &head() const { return m_Head; }
  const slopes::ServerFields &fields() const { return m_Fields; }
  /// How the server has ended the connection.
  upstream::PeerEnd peerEnd() const { return m_PeerEnd; }
  /// Returns the whole body and leaves none.
  std::string takeBody() { return m_Body.take(); }
  BootTime started() const { return m_Started; }
  /// Empty if the target was no longer listed.
  const std::optional<dispatch::Target> &target() const { return m_Target; }
  /// Whether the target has restarted since the request was sent, which loses
  /// its computed state.
  bool targetRestarted() const;

  bool belongsToOther(const proxy::ResponseHead &Head) override;
  void onHead(const proxy::ResponseHead &Head) override;
  void onBody(std::string Bytes) override;
  /// The head alone makes a rejection. The result of a prefill is a JSON value.
  bool isWholeByContent() const override {
    return m_Fields.NotExecuted || m_Purpose == SendPurpose::Prefill;
  }
  void onEnd(upstream::ExchangeOutcome End) override;
  /// A target that has restarted since may have another software version.
  bool maySend() const override {
    m_IsWithheld = m_Owner && !m_Owner->maySend();
    return !targetRestarted() && !m_IsWithheld;
  }
  bool wantsMore() const override { return !m_Owner || m_Owner->wantsMore(); }

private:
  bool isMatchingResponse(const proxy::ResponseHead &Head,
                          const slopes::ServerFields &Fields) const;
  bool runsInsteadOfPrefill() const;
  void recordRejection(BootTime Now);
  void recordLimit();
  bool isHeldBack() const;
  void recordOutcome(const dispatch::SendOutcome &End);
  void end(dispatch::SendOutcome End);

  /// Limit for buffered bodies. The services do not send longer ones, which
  /// would use up the memory for all requests.
  static constexpr size_t MaximumBufferedBody = 8 << 20;

  Context &m_Shared;
  /// Null after the attempt has ended.
  SendOwner *m_Owner;
  std::string m_TargetId;
  SendPurpose m_Purpose;
  std::string m_AttemptId;
  const dispatch::SendHistory::SendNumber m_Number;
  std::shared_ptr<upstream::ServerConnection> m_Connection;
  upstream::PeerEnd m_PeerEnd = upstream::PeerEnd::None;
  uint64_t m_Ticket = 0;
  BootTime m_Started{};
  /// The target as listed when the request was sent.
  std::optional<dispatch::Target> m_Target;
  proxy::ResponseHead m_Head;
  slopes::ServerFields m_Fields;
  proxy::BodyBuffer m_Body;
  /// Of m_Body, or of what the owner holds.
  MemoryShare m_Memory;
  bool m_Streamed = false;
  /// The owner did not want the request to be sent any more when its connection
  /// was established.
  mutable bool m_IsWithheld = false;
};

} // namespace figlift::gateway
