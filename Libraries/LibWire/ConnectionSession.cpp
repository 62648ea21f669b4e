//===- ConnectionSession.cpp - The nghttp2 session of a connection --------===//
//
// Settings, options and callbacks of the nghttp2 session; the rest of
// Connection is in Connection.cpp.
//
//===----------------------------------------------------------------------===//

#include "LibWire/Connection.h"

#include <algorithm>

namespace figlift::wire {

namespace {
constexpr int32_t ConnectionWindow = 16 << 20;
constexpr size_t HeaderListBytes = 8u << 10;
constexpr size_t FrameHeaderBytes = 9;
} // namespace

bool Connection::startSession(Side Role, uint32_t MaximumConcurrentStreams) {
  nghttp2_session_callbacks *Callbacks = nullptr;
  nghttp2_option *Options = nullptr;
  if (nghttp2_session_callbacks_new(&Callbacks) != 0)
    return false;
  if (nghttp2_option_new(&Options) != 0) {
    nghttp2_session_callbacks_del(Callbacks);
    return false;
  }
  setCallbacks(Callbacks);
  nghttp2_option_set_no_closed_streams(Options, 1);
  // By default nghttp2 treats more than 33 resets a second as an attack and
  // closes the connection with all its streams. Between figlift processes a
  // burst of cancellations is normal, for example when callers disconnect from
  // an overloaded entry.
  nghttp2_option_set_stream_reset_rate_limit(Options, 100'000, 20'000);
  int Status =
      Role == Side::Client
          ? nghttp2_session_client_new2(&m_Session, Callbacks, this, Options)
          : nghttp2_session_server_new2(&m_Session, Callbacks, this, Options);
  nghttp2_option_del(Options);
  nghttp2_session_callbacks_del(Callbacks);
  if (Status != 0)
    return false;
  const nghttp2_settings_entry Settings[] = {
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, HeaderListBytes},
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaximumConcurrentStreams}};
  // ENABLE_PUSH is 0 on both sides: a server must not send another value, and
  // the client does not accept pushed streams.
  return nghttp2_submit_settings(m_Session, NGHTTP2_FLAG_NONE, Settings,
                                 std::size(Settings)) == 0 &&
         nghttp2_session_set_local_window_size(m_Session, NGHTTP2_FLAG_NONE, 0,
                                               ConnectionWindow) == 0;
}

void Connection::countRequestFrame(const nghttp2_frame_hd &Frame) {
  const auto Position = m_Streams.find(Frame.stream_id);
  if (Position != m_Streams.end() && Position->second->CarriesRequest)
    m_Counters->RequestBytes.fetch_add(Frame.length + FrameHeaderBytes,
                                       std::memory_order_relaxed);
}

int Connection::callbackResult(bool Accepted) {
  return Accepted ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

void Connection::setCallbacks(nghttp2_session_callbacks *Callbacks) {
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      Callbacks, [](nghttp2_session *, const nghttp2_frame *Frame, void *User) {
        auto *Self = static_cast<Connection *>(User);
        Self->m_LastFrame = LoopClock::now();
        Self->m_PingSent.reset();
        const bool Accepted = Self->onFrame(*Frame);
        Self->countRequestFrame(Frame->hd);
        return callbackResult(Accepted);
      });
  nghttp2_session_callbacks_set_on_frame_send_callback(
      Callbacks, [](nghttp2_session *, const nghttp2_frame *Frame, void *User) {
        static_cast<Connection *>(User)->countRequestFrame(Frame->hd);
        return 0;
      });
  nghttp2_session_callbacks_set_on_header_callback(
      Callbacks,
      [](nghttp2_session *, const nghttp2_frame *Frame, const uint8_t *Name,
         size_t NameLength, const uint8_t *Value, size_t ValueLength, uint8_t,
         void *User) {
        return callbackResult(static_cast<Connection *>(User)->onHeader(
            *Frame, {reinterpret_cast<const char *>(Name), NameLength},
            {reinterpret_cast<const char *>(Value), ValueLength}));
      });
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      Callbacks, [](nghttp2_session *, uint8_t, int32_t Id, const uint8_t *Data,
                    size_t Length, void *User) {
        static_cast<Connection *>(User)->onData(
            Id, {reinterpret_cast<const char *>(Data), Length});
        return 0;
      });
  nghttp2_session_callbacks_set_on_stream_close_callback(
      Callbacks, [](nghttp2_session *, int32_t Id, uint32_t Code, void *User) {
        static_cast<Connection *>(User)->onStreamClose(Id, Code);
        return 0;
      });
  nghttp2_session_callbacks_set_before_frame_send_callback(
      Callbacks, [](nghttp2_session *, const nghttp2_frame *Frame, void *User) {
        auto *Self = static_cast<Connection *>(User);
        if (Frame->hd.type != NGHTTP2_HEADERS)
          return 0;
        if (auto Stream = Self->findStream(Frame->hd.stream_id))
          Stream->HeadersOffset =
              std::min(Stream->HeadersOffset, Self->m_ProducedBytes);
        return 0;
      });
  nghttp2_session_callbacks_set_on_frame_not_send_callback(
      Callbacks,
      [](nghttp2_session *, const nghttp2_frame *Frame, int, void *User) {
        if (Frame->hd.type == NGHTTP2_HEADERS)
          static_cast<Connection *>(User)->onStreamClose(
              Frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
        return 0;
      });
}

ssize_t Connection::readData(nghttp2_session *, int32_t, uint8_t *Buffer,
                             size_t Length, uint32_t *Flags,
                             nghttp2_data_source *Source, void *) {
  auto *Stream = static_cast<Http2Stream *>(Source->ptr);
  bool AtEnd = false;
  auto Size = Stream->read(Buffer, Length, AtEnd);
  if (!Size) {
    Stream->Deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  if (AtEnd)
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return ssize_t(*Size);
}

nghttp2_data_provider Connection::dataProvider(Http2Stream &Role) {
  nghttp2_data_provider Provider{};
  Provider.source.ptr = &Role;
  Provider.read_callback = readData;
  return Provider;
}

} // namespace figlift::wire
