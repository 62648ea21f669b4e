//===- OrderCaller.cpp - Orders from outside ------------------------------===//
//
// See OrderCaller.h.
//
//===----------------------------------------------------------------------===//

#include "OrderCaller.h"

#include "Support/WaitUntil.h"

#include <future>

using namespace figlift;
using namespace figlift::test;

namespace {

constexpr std::chrono::seconds AnswerLimit{15};

struct IgnoreStates final : wire::ChannelListener {
  void onState(wire::Channel &, wire::ChannelState) override {}
};

struct OneAnswer final : wire::StreamListener {
  void onMessage(std::string_view Message) override {
    wire::OrderReply Read;
    if (Read.ParseFromArray(Message.data(), static_cast<int>(Message.size())))
      Reply = Read;
  }
  void onEnd(wire::StreamEnd) override { Ended.set_value(Reply); }

  std::optional<wire::OrderReply> Reply;
  std::promise<std::optional<wire::OrderReply>> Ended;
};

} // namespace

OrderCaller::OrderCaller(const std::string &PeerAddress) {
  m_Client = std::move(wire::Client::create({}).value());
  m_Channel = m_Client->connect(Endpoint::parse(PeerAddress).value(),
                                std::make_shared<IgnoreStates>());
}

OrderCaller::~OrderCaller() { m_Channel->close(); }

std::optional<wire::OrderReply>
OrderCaller::send(const wire::OrderRequest &Order) {
  if (!waitUntil(AnswerLimit,
                 [&] { return m_Channel->state() == wire::ChannelState::Up; }))
    return std::nullopt;
  auto Listener = std::make_shared<OneAnswer>();
  auto Answer = Listener->Ended.get_future();
  m_Channel->open(wire::Method::Order, Order.SerializeAsString(), Listener);
  if (Answer.wait_for(AnswerLimit) != std::future_status::ready)
    return std::nullopt;
  return Answer.get();
}
