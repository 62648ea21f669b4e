//===- BodyBuffer.h - A body that arrives in parts --------------*- C++ -*-===//
//
// Holds a body of unknown length without much unused memory. A string doubles
// its capacity whenever it grows, and holds both copies meanwhile.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace figlift::proxy {

class BodyBuffer {
public:
  void append(std::string_view Bytes) {
    m_Size += Bytes.size();
    while (!Bytes.empty()) {
      std::string &Last = lastBlock();
      const size_t Count = std::min(Bytes.size(), BlockBytes - Last.size());
      Last.append(Bytes.substr(0, Count));
      Bytes.remove_prefix(Count);
    }
  }
  size_t size() const { return m_Size; }
  /// Memory that is taken, used or not.
  size_t capacity() const {
    return m_Blocks.empty() ? 0
                            : (m_Blocks.size() - 1) * BlockBytes +
                                  m_Blocks.back().capacity();
  }
  /// Returns the whole body and leaves none. Each block is released once it has
  /// been copied.
  std::string take() {
    m_Size = 0;
    if (m_Blocks.size() == 1)
      return release();
    std::string Whole;
    if (m_Blocks.empty())
      return Whole;
    Whole.reserve((m_Blocks.size() - 1) * BlockBytes + m_Blocks.back().size());
    while (!m_Blocks.empty())
      Whole += release();
    return Whole;
  }

private:
  /// Large enough for the allocator to return it to the system by itself.
  static constexpr size_t BlockBytes = 256 << 10;

  /// The first block grows with the body, as most bodies are small.
  std::string &lastBlock() {
    if (m_Blocks.empty() || m_Blocks.back().size() == BlockBytes) {
      m_Blocks.emplace_back();
      if (m_Blocks.size() > 1)
        m_Blocks.back().reserve(BlockBytes);
    }
    return m_Blocks.back();
  }
  std::string release() {
    std::string First = std::move(m_Blocks.front());
    m_Blocks.pop_front();
    return First;
  }

  /// All but the last one are full.
  std::deque<std::string> m_Blocks;
  size_t m_Size = 0;
};

} // namespace figlift::proxy
