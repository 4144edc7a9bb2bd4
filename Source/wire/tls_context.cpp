#include <wire/tls_context.hpp>

#include <algorithm>
#include <array>

#include <openssl/x509v3.h>

namespace bluebellspoke
{

namespace
{

// The one protocol spoken here, in ALPN's form: its length, then its name.
constexpr std::array<unsigned char, 3> http2_protocol{2, 'h', '2'};

using context_ptr = boost::intrusive_ptr<tls_context>;

context_ptr make_context(const SSL_METHOD* method)
{
    context_ptr result(new tls_context());
    result->m_context.reset(SSL_CTX_new(method));
    if (!result->m_context)
        throw tls_error(tls_fault::unavailable, {});
    SSL_CTX* context = result->m_context.get();
    SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    // Peers that go away without the closing alert are ordinary here: HTTP/2
    // frames say by themselves whether an answer is whole.
    SSL_CTX_set_options(context, SSL_OP_IGNORE_UNEXPECTED_EOF);
    SSL_CTX_set_mode(context, SSL_MODE_RELEASE_BUFFERS);
    return result;
}

void use_certificate(SSL_CTX* context, const tls_files& files)
{
    if (SSL_CTX_use_certificate_chain_file(context,
                                           files.m_certificate.c_str()) != 1)
        throw tls_error(tls_fault::bad_certificate, files.m_certificate);
    if (SSL_CTX_use_PrivateKey_file(context, files.m_key.c_str(),
                                    SSL_FILETYPE_PEM) != 1)
        throw tls_error(tls_fault::bad_key, files.m_key);
    if (SSL_CTX_check_private_key(context) != 1)
        throw tls_error(tls_fault::key_mismatch, files.m_key);
}

void trust(SSL_CTX* context, const tls_files& files)
{
    if (SSL_CTX_load_verify_locations(context, files.m_authorities.c_str(),
                                      nullptr) != 1)
        throw tls_error(tls_fault::bad_authorities, files.m_authorities);
}

int choose_protocol(SSL*, const unsigned char** out, unsigned char* out_length,
                    const unsigned char* offered, unsigned offered_length,
                    void*)
{
    unsigned char* chosen = nullptr;
    const int result =
        SSL_select_next_proto(&chosen, out_length, http2_protocol.data(),
                              http2_protocol.size(), offered, offered_length);
    *out = chosen;
    return result == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK
                                            : SSL_TLSEXT_ERR_ALERT_FATAL;
}

}

std::string_view to_string(tls_fault fault) noexcept
{
    switch (fault)
    {
    case tls_fault::unavailable:
        return "unavailable";
    case tls_fault::bad_certificate:
        return "bad_certificate";
    case tls_fault::bad_key:
        return "bad_key";
    case tls_fault::key_mismatch:
        return "key_mismatch";
    case tls_fault::bad_authorities:
        return "bad_authorities";
    }
    return "unavailable";
}

tls_error::tls_error(tls_fault fault, const std::filesystem::path& file)
    : m_fault(fault)
{
    m_text.append("TLS: ").append(to_string(fault));
    if (!file.empty())
        m_text.append(": ").append(file.native());
}

const char* tls_error::what() const noexcept
{
    return m_text.c_str();
}

void ssl_context_deleter::operator()(SSL_CTX* context) const noexcept
{
    SSL_CTX_free(context);
}

tls_context_ptr load_server_tls(const tls_files& files, tls_peer_check check)
{
    const context_ptr result = make_context(TLS_server_method());
    SSL_CTX* context = result->m_context.get();
    use_certificate(context, files);
    SSL_CTX_set_alpn_select_cb(context, choose_protocol, nullptr);
    if (check == tls_peer_check::required)
    {
        trust(context, files);
        SSL_CTX_set_verify(context,
                           SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT,
                           nullptr);
    }
    return result;
}

tls_context_ptr load_client_tls(const tls_files& files)
{
    const context_ptr result = make_context(TLS_client_method());
    SSL_CTX* context = result->m_context.get();
    trust(context, files);
    if (!files.m_certificate.empty())
        use_certificate(context, files);
    SSL_CTX_set_verify(context, SSL_VERIFY_PEER, nullptr);
    SSL_CTX_set_alpn_protos(context, http2_protocol.data(),
                            http2_protocol.size());
    return result;
}

SSL* make_server_tls(const tls_context& context)
{
    SSL* connection = SSL_new(context.m_context.get());
    if (connection == nullptr)
        throw tls_error(tls_fault::unavailable, {});
    return connection;
}

SSL* make_client_tls(const tls_context& context, const std::string& host)
{
    SSL* connection = SSL_new(context.m_context.get());
    if (connection == nullptr)
        throw tls_error(tls_fault::unavailable, {});
    X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(connection), host.c_str());
    return connection;
}

}
