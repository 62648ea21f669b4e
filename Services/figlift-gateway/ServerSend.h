//===- ServerSend.h - One send of a request to a server ---------*- C++ -*-===//
//
// Sends one request, or the part of it that reads its prompt, to one server,
// and checks that what comes back is that server's answer to it: the echoed id
// and, for a success, the signature. An answer to an earlier request on the
// same connection is known by its id and ends the connection.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "platform/Headers.h"

#include <memory>
#include <optional>
#include <string>

namespace figlift::gateway {

enum class SendPurpose {
  /// The prompt is computed and its KV cache kept; nothing runs.
  ReadPrompt,
  /// The request runs.
  Run,
};

class ServerSend;

class SendOwner {
public:
  virtual ~SendOwner() = default;
  /// The head of the server's own, successful answer to a run came.
  virtual void sendAnswered(ServerSend &Which) = 0;
  /// Body bytes after sendAnswered.
  virtual void sendBody(ServerSend &Which, std::string Bytes) = 0;
  /// A whole success; its body is in body() unless it went to sendBody.
  virtual void sendCompleted(ServerSend &Which) = 0;
  virtual void sendEnded(ServerSend &Which, dispatch::SendOutcome How) = 0;
  virtual bool wantsMore() const = 0;
};

class ServerSend : public upstream::ExchangeSink,
                   public std::enable_shared_from_this<ServerSend> {
public:
  ServerSend(Context &Shared, SendOwner &Owner, std::string TargetId,
             SendPurpose Purpose, std::string AttemptId);

  /// Takes a connection and sends; false when this process has none left for
  /// the server, and then nothing was sent.
  bool start(std::string Bytes, dispatch::Work What);
  /// Closes the connection, which also ends the server's work.
  void cancel();
  void resumeReading();
  /// Passes body bytes to the owner as they come.
  void streamBody() { m_Streamed = true; }
  /// The first part of the answer came: judges the server's speed.
  void noteSpeed();

  const std::string &targetId() const { return m_TargetId; }
  SendPurpose purpose() const { return m_Purpose; }
  const proxy::ResponseHead &head() const { return m_Head; }
  const slopes::ServerFields &fields() const { return m_Fields; }
  std::string &body() { return m_Body; }
  BootTime started() const { return m_Started; }
  /// Null if the target was not listed any more.
  const std::optional<dispatch::Target> &target() const { return m_Target; }
  /// Whether the target has started again since it was sent to: what it had
  /// computed is gone.
  bool targetStartedAgain() const;

  void onHead(const proxy::ResponseHead &Head) override;
  void onBody(std::string Bytes) override;
  void onEnd(upstream::ExchangeEnd How) override;
  bool wantsMore() const override { return !m_Owner || m_Owner->wantsMore(); }

private:
  bool isOwnAnswer() const;
  void noteRejection(BootTime Now);
  void noteLimit();
  void judge(const dispatch::SendOutcome &How);
  void end(dispatch::SendOutcome How);

  /// Longest body that is gathered whole; longer ones are no answer that the
  /// services here give, and would take the memory of all requests.
  static constexpr size_t MaximumWholeBody = 8 << 20;

  Context &m_Shared;
  /// Null once the send has ended.
  SendOwner *m_Owner;
  std::string m_TargetId;
  SendPurpose m_Purpose;
  std::string m_AttemptId;
  std::shared_ptr<upstream::ServerConnection> m_Connection;
  uint64_t m_Ticket = 0;
  BootTime m_Started{};
  /// As it was listed when this was sent.
  std::optional<dispatch::Target> m_Target;
  proxy::ResponseHead m_Head;
  slopes::ServerFields m_Fields;
  std::string m_Body;
  bool m_Streamed = false;
};

} // namespace figlift::gateway
