//===- Caller.h - HTTP client for tests -------------------------*- C++ -*-===//
//
// Sends HTTP requests as a client of figlift does, and keeps the complete
// response, so that a test can compare it with the expected one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::test {

/// Header names are case-insensitive.
struct CaseInsensitiveLess {
  bool operator()(const std::string &Left, const std::string &Right) const;
};
using Headers = std::map<std::string, std::string, CaseInsensitiveLess>;

/// Response to one request.
struct Answer {
  /// 0 if the connection was lost before the status line.
  int Status = 0;
  Headers Fields;
  std::string Body;
  /// The body was received completely.
  bool Whole = false;
  /// The connection failed, so no part of the request was sent.
  bool ConnectFailed = false;
  std::chrono::milliseconds Duration{0};

  /// Concatenated text of all server-sent completion chunks.
  std::string streamedText() const;
  /// The stream ended with `data: [DONE]`.
  bool isStreamComplete() const;
  /// Number of the result code in a problem document; 0 if there is none.
  int resultCode() const;
  /// Member "executed" of a problem document.
  std::string executed() const;
};

/// Sends one request and waits for the end of the response. \p OnBytes is
/// called with the present length of the body, so that a test can act during a
/// stream.
Answer call(const std::string &Address, const std::string &Method,
            const std::string &Path, const std::string &Body = {},
            const Headers &Extra = {},
            std::chrono::milliseconds Limit = std::chrono::seconds(30),
            const std::function<void(size_t)> &OnBytes = {});

/// Body of a completion request, streamed by default.
std::string completionBody(const std::string &Model, const std::string &Prompt,
                           unsigned MaximumTokens, bool Stream = true);

/// A new idempotency key: a UUIDv7 with the present time.
std::string freshKey();

/// The text that every engine stand-in generates for \p Prompt.
std::string expectedText(std::string_view Prompt, unsigned Tokens);

} // namespace figlift::test
