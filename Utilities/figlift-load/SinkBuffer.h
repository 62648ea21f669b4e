//===- SinkBuffer.h - Unbuffered write-only stream buffer -------*- C++ -*-===//
//
// A cpprestsdk stream buffer that passes each chunk of an HTTP response to a
// function as soon as it has been read from the socket. Reading through
// cpprestsdk's own buffers would need a pending read task for every stream.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cpprest/astreambuf.h>

#include <functional>
#include <string_view>
#include <utility>

namespace figlift::load {

class SinkBuffer final
    : public concurrency::streams::details::streambuf_state_manager<uint8_t> {
public:
  using Consumer = std::function<void(std::string_view)>;

  explicit SinkBuffer(Consumer Consume)
      : streambuf_state_manager(std::ios_base::out),
        m_Consume(std::move(Consume)) {}

  bool can_seek() const override { return false; }
  bool has_size() const override { return false; }
  size_t buffer_size(std::ios_base::openmode) const override { return 0; }
  void set_buffer_size(size_t, std::ios_base::openmode) override {}
  size_t in_avail() const override { return 0; }
  pos_type getpos(std::ios_base::openmode) const override {
    return m_BytesConsumed;
  }
  pos_type seekpos(pos_type, std::ios_base::openmode) override {
    return pos_type(traits::eof());
  }
  pos_type seekoff(off_type, std::ios_base::seekdir,
                   std::ios_base::openmode) override {
    return pos_type(traits::eof());
  }
  bool acquire(uint8_t *&Pointer, size_t &Count) override {
    Pointer = nullptr;
    Count = 0;
    return false;
  }
  void release(uint8_t *, size_t) override {}

protected:
  using Character = pplx::task<int_type>;

  Character _putc(uint8_t Byte) override {
    consume(&Byte, 1);
    return pplx::task_from_result<int_type>(Byte);
  }
  pplx::task<size_t> _putn(const uint8_t *Bytes, size_t Count) override {
    consume(Bytes, Count);
    return pplx::task_from_result(Count);
  }
  Character _bumpc() override { return end(); }
  int_type _sbumpc() override { return traits::eof(); }
  Character _getc() override { return end(); }
  int_type _sgetc() override { return traits::eof(); }
  Character _nextc() override { return end(); }
  Character _ungetc() override { return end(); }
  pplx::task<size_t> _getn(uint8_t *, size_t) override {
    return pplx::task_from_result<size_t>(0);
  }
  size_t _scopy(uint8_t *, size_t) override { return 0; }
  pplx::task<bool> _sync() override { return pplx::task_from_result(true); }
  uint8_t *_alloc(size_t) override { return nullptr; }
  void _commit(size_t) override {}

private:
  static Character end() {
    return pplx::task_from_result<int_type>(traits::eof());
  }
  void consume(const uint8_t *Bytes, size_t Count) {
    m_BytesConsumed += static_cast<off_type>(Count);
    m_Consume({reinterpret_cast<const char *>(Bytes), Count});
  }

  Consumer m_Consume;
  pos_type m_BytesConsumed{0};
};

} // namespace figlift::load
