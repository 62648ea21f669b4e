//===- ControlCall.cpp - A call of the gateway itself ---------------------===//
//
// Combines a connection, a timer and a buffer for the response.
//
//===----------------------------------------------------------------------===//

#include "ControlCall.h"

#include "BrokenOffAnswer.h"

#include "LibCore/MemoryBudget.h"
#include "LibLog/Guard.h"
#include "LibProxy/BodyBuffer.h"
#include "platform/EngineCalls.h"

#include <boost/asio/steady_timer.hpp>

namespace figlift::gateway {

namespace {

/// Ten times the size of a cache list with all parts of the largest cache in
/// use.
constexpr size_t MaximumBodyBytes = 1 << 20;

class Call : public upstream::ExchangeSink,
             public std::enable_shared_from_this<Call> {
public:
  Call(Context &Shared, CallCallback Done)
      : m_Shared(Shared), m_Timer(Shared.Loop), m_Done(std::move(Done)),
        m_Memory(&Shared.Memory) {}

  bool start(const ExchangeStarter &Start, std::chrono::milliseconds Timeout) {
    m_Connection = Start(shared_from_this());
    if (!m_Connection)
      return false;
    m_Timer.expires_after(Timeout);
    m_Timer.async_wait([Self = shared_from_this()](const auto &Stopped) {
      if (Stopped || !Self->m_Done)
        return;
      Self->m_Connection->abort();
      Self->finish(0);
    });
    return true;
  }
  bool belongsToOther(const proxy::ResponseHead &Head) override {
    return slopes::namesRequest(Head);
  }
  void onHead(const proxy::ResponseHead &Head) override {
    m_Status = Head.Status;
  }
  void onBody(std::string Bytes) override {
    if (!m_Connection)
      return;
    m_Body.append(Bytes);
    if (m_Body.size() > MaximumBodyBytes)
      return breakOff(BrokenOffAnswer::TooLong);
    if (!m_Memory.resize(m_Body.capacity()))
      breakOff(BrokenOffAnswer::NoMemory);
  }
  void onEnd(upstream::ExchangeOutcome End) override {
    finish(End == upstream::ExchangeOutcome::Complete ? m_Status : 0);
  }

private:
  void breakOff(std::string_view Reason) {
    recordBrokenOff(m_Shared, {.AttemptId = {},
                               .Target = m_Connection->peerName(),
                               .Reason = Reason,
                               .Status = m_Status,
                               .BodyBytes = m_Body.size()});
    m_Connection->abort();
    finish(0);
  }
  void finish(unsigned Status) {
    m_Timer.cancel();
    m_Connection = nullptr;
    const std::string Body = m_Body.take();
    const auto Done = std::exchange(m_Done, nullptr);
    if (!Done ||
        log::guarded("answer to a call", {}, [&] { Done(Status, Body); }))
      return;
    // To the caller the call has failed.
    if (Status != 0)
      log::guarded("end of a call", {}, [&] { Done(0, {}); });
  }

  Context &m_Shared;
  boost::asio::steady_timer m_Timer;
  CallCallback m_Done;
  std::shared_ptr<upstream::ServerConnection> m_Connection;
  unsigned m_Status = 0;
  proxy::BodyBuffer m_Body;
  MemoryShare m_Memory;
};

} // namespace

bool startControlCall(Context &Shared, const ExchangeStarter &Start,
                      std::chrono::milliseconds Timeout, CallCallback Done) {
  return std::make_shared<Call>(Shared, std::move(Done))->start(Start, Timeout);
}

} // namespace figlift::gateway
