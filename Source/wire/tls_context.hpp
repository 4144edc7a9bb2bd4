#ifndef BLUEBELLSPOKE_WIRE_TLS_CONTEXT_HPP
#define BLUEBELLSPOKE_WIRE_TLS_CONTEXT_HPP

#include <cstdint>
#include <exception>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <openssl/ssl.h>

namespace bluebellspoke
{

/// Certificates as the settings name them: PEM files.
struct tls_files
{
    std::filesystem::path m_certificate; ///< Of this process, with its chain.
    std::filesystem::path m_key;         ///< Of the certificate.
    std::filesystem::path m_authorities; ///< Whom this process trusts.
};

enum class tls_fault : std::uint8_t
{
    unavailable,
    bad_certificate,
    bad_key,
    key_mismatch,
    bad_authorities,
};

std::string_view to_string(tls_fault fault) noexcept;

/// Certificates were refused; names the fault and the file.
class tls_error : public std::exception
{
public:
    tls_error(tls_fault fault, const std::filesystem::path& file);
    const char* what() const noexcept override;

    tls_fault m_fault;

private:
    std::string m_text;
};

struct ssl_context_deleter
{
    void operator()(SSL_CTX* context) const noexcept;
};

/// Certificates in use. A connection keeps those it was opened with, so that a
/// reload cuts nothing.
struct tls_context
    : boost::intrusive_ref_counter<tls_context, boost::thread_safe_counter>
{
    std::unique_ptr<SSL_CTX, ssl_context_deleter> m_context;
};

using tls_context_ptr = boost::intrusive_ptr<const tls_context>;

enum class tls_peer_check : std::uint8_t
{
    none,     ///< Callers bring keys, not certificates.
    required, ///< Daemons show each other certificates.
};

/// For a server. Throws tls_error.
tls_context_ptr load_server_tls(const tls_files& files, tls_peer_check check);
/// For a client that checks the server's certificate against the authorities
/// and the server's IP number, and shows its own if there is one.
/// Throws tls_error.
tls_context_ptr load_client_tls(const tls_files& files);

/// The state of one connection. Throws tls_error.
SSL* make_server_tls(const tls_context& context);
SSL* make_client_tls(const tls_context& context, const std::string& host);

}

#endif
