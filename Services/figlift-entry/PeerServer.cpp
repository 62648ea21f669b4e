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
  ConfigurationStream(std::weak_ptr<wire::Stream> Stream,
                      PeerServer::CurrentConfiguration Current)
      : m_Stream(std::move(Stream)), m_Current(std::move(Current)) {}

  void onMessage(std::string_view Message) override {
    const auto Stream = m_Stream.lock();
    wire::ConfigurationRequest Request;
    if (!Stream)
      return;
    const config::SnapshotPointer Configuration = m_Current();
    if (!Configuration || !Request.ParseFromArray(
                              Message.data(), static_cast<int>(Message.size())))
      return Stream->cancel();
    Stream->send(
        config::toReply(Configuration->diffSince(Request.after_revision()))
            .SerializeAsString());
    Stream->finish();
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
PeerServer::onStream(wire::Method Method,
                     std::shared_ptr<wire::Stream> Stream) {
  if (Method == wire::Method::Configuration)
    return std::make_shared<ConfigurationStream>(Stream, m_Current);
  Stream->refuse();
  return std::make_shared<RefusedStream>();
}

} // namespace figlift::entry
