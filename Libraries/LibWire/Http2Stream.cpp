//===- Http2Stream.cpp - One HTTP/2 stream of a connection ----------------===//
//
// Message framing, output queue and termination of a stream.
//
//===----------------------------------------------------------------------===//

#include "LibWire/Http2Stream.h"
#include "LibWire/Connection.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>

namespace figlift::wire {

namespace {
constexpr size_t PrefixBytes = 4;
/// Buffers with a larger capacity are freed when they become empty.
constexpr size_t RetainedCapacity = 64u << 10;

size_t readPrefix(std::string_view Bytes) {
  auto ByteAt = [&](size_t I) { return size_t(uint8_t(Bytes[I])); };
  return ByteAt(0) << 24 | ByteAt(1) << 16 | ByteAt(2) << 8 | ByteAt(3);
}
} // namespace

Http2Stream::Http2Stream(std::shared_ptr<Loop> Owner, StreamLimits Limits,
                         std::shared_ptr<StreamListener> Listener)
    : m_Loop(std::move(Owner)), m_Limits(Limits),
      m_Listener(std::move(Listener)) {}

bool Http2Stream::reserve(size_t MessageBytes) {
  size_t Bytes = MessageBytes + PrefixBytes;
  size_t Queued = m_Queued.fetch_add(Bytes, std::memory_order_relaxed) + Bytes;
  return MessageBytes <= m_Limits.MaximumMessageBytes &&
         Queued <= m_Limits.MaximumQueuedBytes;
}

bool Http2Stream::send(std::string Message) {
  if (m_Closed.load(std::memory_order_acquire))
    return false;
  // A peer that does not read would let the queue grow until this process runs
  // out of memory, so the stream is reset at the limit.
  if (!reserve(Message.size())) {
    reset(NGHTTP2_INTERNAL_ERROR);
    return false;
  }
  return m_Loop->post([Self = shared_from_this(), Text = std::move(Message)] {
    if (!Self->Owner || Self->ended())
      return;
    Self->append(Text);
    Self->Owner->outputReady(*Self);
  });
}

void Http2Stream::finish() {
  if (m_Closed.exchange(true))
    return;
  m_Loop->post([Self = shared_from_this()] {
    Self->FinishRequested = true;
    if (Self->Owner)
      Self->Owner->outputReady(*Self);
  });
}

void Http2Stream::finishAfterOutput() {
  m_Closed.store(true);
  FinishRequested = true;
}

void Http2Stream::cancel() { reset(NGHTTP2_CANCEL); }

void Http2Stream::refuse() { reset(NGHTTP2_REFUSED_STREAM); }

size_t Http2Stream::queuedBytes() const {
  return m_Queued.load(std::memory_order_relaxed);
}

void Http2Stream::reset(uint32_t Code) {
  m_Closed.store(true);
  m_Loop->post([Self = shared_from_this(), Code] {
    if (Self->Owner && !Self->ended())
      Self->Owner->resetStream(*Self, Code);
  });
}

void Http2Stream::setListener(std::shared_ptr<StreamListener> Listener) {
  m_Listener = std::move(Listener);
}

void Http2Stream::append(std::string_view Message) {
  auto Size = uint32_t(Message.size());
  const char Prefix[PrefixBytes] = {char(Size >> 24), char(Size >> 16),
                                    char(Size >> 8), char(Size)};
  if (m_OutputOffset > RetainedCapacity &&
      m_OutputOffset * 2 > m_Output.size()) {
    m_Output.erase(0, m_OutputOffset);
    m_OutputOffset = 0;
  }
  m_Output.append(Prefix, PrefixBytes);
  m_Output.append(Message);
}

std::optional<size_t> Http2Stream::read(uint8_t *Buffer, size_t Length,
                                        bool &AtEnd) {
  size_t Count = std::min(Length, m_Output.size() - m_OutputOffset);
  std::memcpy(Buffer, m_Output.data() + m_OutputOffset, Count);
  m_OutputOffset += Count;
  m_Queued.fetch_sub(Count, std::memory_order_relaxed);
  if (m_OutputOffset == m_Output.size()) {
    m_OutputOffset = 0;
    m_Output.clear();
    if (m_Output.capacity() > RetainedCapacity)
      m_Output.shrink_to_fit();
    AtEnd = FinishRequested;
  }
  if (Count == 0 && !AtEnd)
    return std::nullopt;
  return Count;
}

bool Http2Stream::receive(std::string_view Bytes) {
  // A message that is complete within one chunk is passed on without a copy;
  // only an incomplete message is buffered.
  while (!Bytes.empty() && !ended()) {
    if (m_Input.size() < PrefixBytes) {
      size_t Missing = std::min(PrefixBytes - m_Input.size(), Bytes.size());
      if (m_Input.empty() && Bytes.size() >= PrefixBytes) {
        size_t Size = readPrefix(Bytes);
        if (Size > m_Limits.MaximumMessageBytes)
          return false;
        if (Bytes.size() - PrefixBytes >= Size) {
          ReceivedMessage = true;
          m_Listener->onMessage(Bytes.substr(PrefixBytes, Size));
          Bytes.remove_prefix(PrefixBytes + Size);
          continue;
        }
      }
      if (m_Input.empty())
        IncompleteSince = LoopClock::now();
      m_Input.append(Bytes.substr(0, Missing));
      Bytes.remove_prefix(Missing);
      if (m_Input.size() < PrefixBytes)
        return true;
    }
    size_t Size = readPrefix(m_Input);
    if (Size > m_Limits.MaximumMessageBytes)
      return false;
    size_t Missing =
        std::min(PrefixBytes + Size - m_Input.size(), Bytes.size());
    m_Input.append(Bytes.substr(0, Missing));
    Bytes.remove_prefix(Missing);
    if (m_Input.size() < PrefixBytes + Size)
      return true;
    ReceivedMessage = true;
    std::string Message = std::exchange(m_Input, {});
    m_Listener->onMessage(std::string_view(Message).substr(PrefixBytes));
  }
  return true;
}

void Http2Stream::end(StreamEnd Outcome) {
  auto Listener = std::exchange(m_Listener, nullptr);
  if (!Listener)
    return;
  m_Closed.store(true, std::memory_order_release);
  m_Input = {};
  Listener->onEnd(Outcome);
}

void Http2Stream::peerFinished() {
  if (auto Listener = m_Listener)
    Listener->onPeerFinished();
}

} // namespace figlift::wire
