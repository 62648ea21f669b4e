//===- EngineCall.cpp - Control calls to engines --------------------------===//
//
// Combines a pooled connection, a timer and a buffer for the response.
//
//===----------------------------------------------------------------------===//

#include "EngineCall.h"

#include "platform/EngineCalls.h"

#include <boost/asio/steady_timer.hpp>

namespace figlift::gateway {

namespace {

/// Longer than any connection delays a call in transit. An order without a
/// response after this time may still take effect later.
constexpr std::chrono::milliseconds CallTimeout{1500};
/// Ten times the size of a cache list with all parts of the largest cache in
/// use.
constexpr size_t MaximumBodyBytes = 1 << 20;

/// One call. A status of 0 means that no response was received.
class Call : public upstream::ExchangeSink,
             public std::enable_shared_from_this<Call> {
public:
  Call(boost::asio::io_context &Loop, EngineCallback Done)
      : m_Timer(Loop), m_Done(std::move(Done)) {}

  void start(std::shared_ptr<upstream::ServerConnection> Connection,
             std::string Bytes) {
    m_Connection = std::move(Connection);
    m_Timer.expires_after(CallTimeout);
    m_Timer.async_wait([Self = shared_from_this()](const auto &Stopped) {
      if (Stopped || !Self->m_Done)
        return;
      Self->m_Connection->abort();
      Self->finish(0);
    });
    m_Connection->exchange(std::move(Bytes), true, shared_from_this());
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
    if (const auto Done = std::exchange(m_Done, nullptr))
      Done(Status, m_Body);
  }

  boost::asio::steady_timer m_Timer;
  EngineCallback m_Done;
  std::shared_ptr<upstream::ServerConnection> m_Connection;
  unsigned m_Status = 0;
  std::string m_Body;
};

} // namespace

bool callEngine(Context &Shared, const std::string &TargetId,
                std::string_view Method, std::string_view Path,
                const std::string &Body, EngineCallback Done) {
  const auto Pool = Shared.Pools.find(TargetId);
  const dispatch::Target *Engine = Shared.Targets.find(TargetId);
  if (Pool == Shared.Pools.end() || !Engine)
    return false;
  auto Connection = Pool->second->acquire(BootClock::now());
  if (!Connection)
    return false;
  Shared.Limits.recordSend(TargetId, BootClock::now());
  std::make_shared<Call>(Shared.Loop, std::move(Done))
      ->start(std::move(Connection),
              slopes::targetedCallBytes(Method, Path, *Engine, Body));
  return true;
}

} // namespace figlift::gateway
