//===- ControlCall.cpp - A call of the gateway itself ---------------------===//
//
// Combines a connection, a timer and a buffer for the response.
//
//===----------------------------------------------------------------------===//

#include "ControlCall.h"

#include "LibLog/Guard.h"
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
  Call(boost::asio::io_context &Loop, CallCallback Done)
      : m_Timer(Loop), m_Done(std::move(Done)) {}

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
    m_Body += Bytes;
    if (m_Body.size() <= MaximumBodyBytes || !m_Connection)
      return;
    m_Connection->abort();
    finish(0);
  }
  void onEnd(upstream::ExchangeOutcome End) override {
    finish(End == upstream::ExchangeOutcome::Complete ? m_Status : 0);
  }

private:
  void finish(unsigned Status) {
    m_Timer.cancel();
    m_Connection = nullptr;
    const auto Done = std::exchange(m_Done, nullptr);
    if (!Done ||
        log::guarded("answer to a call", {}, [&] { Done(Status, m_Body); }))
      return;
    // To the caller the call has failed.
    if (Status != 0)
      log::guarded("end of a call", {}, [&] { Done(0, {}); });
  }

  boost::asio::steady_timer m_Timer;
  CallCallback m_Done;
  std::shared_ptr<upstream::ServerConnection> m_Connection;
  unsigned m_Status = 0;
  std::string m_Body;
};

} // namespace

bool startControlCall(boost::asio::io_context &Loop,
                      const ExchangeStarter &Start,
                      std::chrono::milliseconds Timeout, CallCallback Done) {
  return std::make_shared<Call>(Loop, std::move(Done))->start(Start, Timeout);
}

} // namespace figlift::gateway
