//===- PeerServer.cpp - Requests from other processes ---------------------===//
//
// See PeerServer.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/PeerServer.h"

#include "LibConfig/WireDelta.h"

namespace figlift::entry {

namespace {

class ConfigurationStream final : public wire::StreamListener {
public:
  ConfigurationStream(std::weak_ptr<wire::Stream> Opened,
                      PeerServer::CurrentConfiguration Current)
      : m_Stream(std::move(Opened)), m_Current(std::move(Current)) {}

  void onMessage(std::string_view Message) override {
    const auto Open = m_Stream.lock();
    wire::ConfigurationRequest Request;
    if (!Open)
      return;
    const config::SnapshotPointer Known = m_Current();
    if (!Known || !Request.ParseFromArray(Message.data(),
                                          static_cast<int>(Message.size())))
      return Open->cancel();
    Open->send(config::toReply(Known->diffSince(Request.after_revision()))
                   .SerializeAsString());
    Open->finish();
  }
  void onEnd(wire::StreamEnd) override {}

private:
  const std::weak_ptr<wire::Stream> m_Stream;
  const PeerServer::CurrentConfiguration m_Current;
};

class RefusedStream final : public wire::StreamListener {
public:
  void onMessage(std::string_view) override {}
  void onEnd(wire::StreamEnd) override {}
};

} // namespace

std::shared_ptr<wire::StreamListener>
PeerServer::onStream(wire::Method What, std::shared_ptr<wire::Stream> Opened) {
  if (What == wire::Method::Configuration)
    return std::make_shared<ConfigurationStream>(Opened, m_Current);
  Opened->refuse();
  return std::make_shared<RefusedStream>();
}

} // namespace figlift::entry
