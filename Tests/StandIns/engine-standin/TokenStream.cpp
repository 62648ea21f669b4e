//===- TokenStream.cpp - Streamed answer of one completion ----------------===//
//
// cpprestsdk reads the buffer; what is written goes out as one chunk.
//
//===----------------------------------------------------------------------===//

#include "TokenStream.h"

#include <stdexcept>

namespace figlift::standin {

void TokenStream::start(const web::http::http_request &Request,
                        std::function<void()> Gone) {
  web::http::http_response Response(200);
  Response.set_body(m_Buffer.create_istream(), "text/event-stream");
  Request.reply(Response).then(
      [Gone = std::move(Gone)](const pplx::task<void> &Written) {
        try {
          Written.get();
        } catch (const std::exception &) {
          Gone();
        }
      });
}

void TokenStream::write(const std::string &Text) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Closed)
    return;
  m_Buffer.putn_nocopy(reinterpret_cast<const uint8_t *>(Text.data()),
                       Text.size());
  // Without it the reader waits for a full chunk of some kilobytes.
  m_Buffer.sync();
}

void TokenStream::end() { close(nullptr); }

void TokenStream::tear() {
  close(std::make_exception_ptr(std::runtime_error("torn")));
}

void TokenStream::close(const std::exception_ptr &Reason) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Closed)
    return;
  m_Closed = true;
  observe(Reason ? m_Buffer.close(std::ios_base::out, Reason)
                 : m_Buffer.close(std::ios_base::out));
}

} // namespace figlift::standin
