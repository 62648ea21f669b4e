//===- Caller.cpp - HTTP client for tests ---------------------------------===//
//
// Uses the HTTP client of cpprestsdk. Server-sent events are parsed line by
// line.
//
//===----------------------------------------------------------------------===//

#include "Support/Caller.h"

#include "LibCore/Ids.h"

#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <cstdio>
#include <sstream>
#include <strings.h>

using namespace figlift::test;
using nlohmann::json;

namespace {

constexpr std::string_view DataPrefix = "data: ";
/// A read waits for this many bytes, and loses them if the connection is lost,
/// so it has to be small.
constexpr size_t ReadSize = 256;
/// Part of the message of cpprestsdk's client for failed connections.
constexpr std::string_view ConnectFailure = "Failed to connect";

/// Payloads of the server-sent events in \p Body.
std::vector<std::string> eventPayloads(const std::string &Body) {
  std::vector<std::string> Payloads;
  std::istringstream Lines(Body);
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Line.starts_with(DataPrefix))
      Payloads.push_back(Line.substr(DataPrefix.size()));
  }
  return Payloads;
}

std::string chunkText(const json &Choice) {
  if (auto Text = Choice.find("text"); Text != Choice.end())
    return Text->get<std::string>();
  if (auto Delta = Choice.find("delta"); Delta != Choice.end())
    return Delta->value("content", "");
  return {};
}

json parsedBody(const std::string &Body) {
  return json::parse(Body, nullptr, /*allow_exceptions=*/false);
}

void readBody(web::http::http_response &Response, Answer &Result,
              const std::function<void(size_t)> &OnBytes) {
  auto Source = Response.body();
  while (true) {
    concurrency::streams::container_buffer<std::string> Buffer;
    size_t Count = Source.read(Buffer, ReadSize).get();
    if (Count == 0)
      break;
    // The buffer has the requested size, even if fewer bytes were read.
    Result.Body.append(Buffer.collection(), 0, Count);
    if (OnBytes)
      OnBytes(Result.Body.size());
  }
  Result.Whole = true;
}

} // namespace

bool CaseInsensitiveLess::operator()(const std::string &Left,
                                     const std::string &Right) const {
  return strcasecmp(Left.c_str(), Right.c_str()) < 0;
}

std::string Answer::streamedText() const {
  std::string Text;
  for (const std::string &Payload : eventPayloads(Body)) {
    json Chunk = parsedBody(Payload);
    if (!Chunk.is_object() || !Chunk.contains("choices"))
      continue;
    for (const json &Choice : Chunk["choices"])
      Text += chunkText(Choice);
  }
  return Text;
}

bool Answer::isStreamComplete() const {
  auto Payloads = eventPayloads(Body);
  return Whole && !Payloads.empty() && Payloads.back() == "[DONE]";
}

int Answer::resultCode() const {
  json Problem = parsedBody(Body);
  return Problem.is_object() ? Problem.value("code", 0) : 0;
}

std::string Answer::executed() const {
  json Problem = parsedBody(Body);
  return Problem.is_object() ? Problem.value("executed", "") : "";
}

Answer figlift::test::call(const std::string &Address,
                           const std::string &Method, const std::string &Path,
                           const std::string &Body, const Headers &Extra,
                           std::chrono::milliseconds Limit,
                           const std::function<void(size_t)> &OnBytes) {
  Answer Result;
  auto Start = std::chrono::steady_clock::now();
  try {
    web::http::client::http_client_config Config;
    Config.set_timeout(Limit);
    web::http::client::http_client Client("http://" + Address, Config);
    web::http::http_request Request(Method);
    Request.set_request_uri(Path);
    for (const auto &[Name, Value] : Extra)
      Request.headers().add(Name, Value);
    if (!Body.empty())
      Request.set_body(Body, "application/json");
    web::http::http_response Response = Client.request(Request).get();
    Result.Status = Response.status_code();
    for (const auto &[Name, Value] : Response.headers())
      Result.Fields[Name] = Value;
    readBody(Response, Result, OnBytes);
  } catch (const std::exception &Problem) {
    // A lost connection is an outcome that tests check, not an error.
    Result.Whole = false;
    Result.ConnectFailed =
        std::string_view(Problem.what()).find(ConnectFailure) !=
        std::string_view::npos;
  }
  Result.Duration = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - Start);
  return Result;
}

std::string figlift::test::completionBody(const std::string &Model,
                                          const std::string &Prompt,
                                          unsigned MaximumTokens, bool Stream) {
  return json{{"model", Model},
              {"prompt", Prompt},
              {"max_tokens", MaximumTokens},
              {"stream", Stream}}
      .dump();
}

std::string figlift::test::freshKey() {
  static UuidGenerator Generator;
  return Generator.nextText();
}

std::string figlift::test::expectedText(std::string_view Prompt,
                                        unsigned Tokens) {
  constexpr uint64_t TokenMask = 0xffff;
  std::string Text;
  for (unsigned I = 0; I < Tokens; ++I) {
    uint64_t Hash = XXH64(Prompt.data(), Prompt.size(), I) & TokenMask;
    char Token[16];
    std::snprintf(Token, sizeof(Token), " w%llx",
                  static_cast<unsigned long long>(Hash));
    Text += Token;
  }
  return Text;
}
