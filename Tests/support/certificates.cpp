#include <support/certificates.hpp>

#include <cstdio>
#include <cstdlib>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <support/loopback.hpp>

namespace bluebellspoke::support
{

namespace
{

template <auto Free>
struct releaser
{
    template <class Object>
    void operator()(Object* object) const
    {
        Free(object);
    }
};
using key_ptr = std::unique_ptr<EVP_PKEY, releaser<EVP_PKEY_free>>;
using certificate_ptr = std::unique_ptr<X509, releaser<X509_free>>;
using file_ptr = std::unique_ptr<FILE, releaser<std::fclose>>;

constexpr long valid_seconds = 3600;

void add_extension(X509* certificate, int id, const char* value)
{
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, certificate, certificate, nullptr, nullptr, 0);
    X509_EXTENSION* extension =
        X509V3_EXT_conf_nid(nullptr, &context, id, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

certificate_ptr make_certificate(EVP_PKEY* key, const std::string& name)
{
    static long serial = 1;
    certificate_ptr made(X509_new());
    X509* certificate = made.get();
    X509_set_version(certificate, X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), serial++);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -valid_seconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate), valid_seconds);
    X509_set_pubkey(certificate, key);
    X509_NAME_add_entry_by_txt(
        X509_get_subject_name(certificate), "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    return made;
}

void write_certificate(const std::filesystem::path& path, X509* certificate)
{
    const file_ptr file(std::fopen(path.c_str(), "w"));
    PEM_write_X509(file.get(), certificate);
}

void write_key(const std::filesystem::path& path, EVP_PKEY* key)
{
    const file_ptr file(std::fopen(path.c_str(), "w"));
    PEM_write_PrivateKey(file.get(), key, nullptr, nullptr, 0, nullptr,
                         nullptr);
}

}

scratch_folder::scratch_folder()
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "bluebellspoke-XXXXXX");
    m_path = mkdtemp(pattern.data());
}

scratch_folder::~scratch_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

struct test_authority::state
{
    std::filesystem::path m_folder;
    std::string m_name;
    key_ptr m_key;
    certificate_ptr m_certificate;
};

test_authority::test_authority(const std::filesystem::path& folder,
                               const std::string& name)
    : m_state(std::make_unique<state>())
{
    state& s = *m_state;
    s.m_folder = folder;
    s.m_name = name;
    s.m_key.reset(EVP_EC_gen("P-256"));
    s.m_certificate = make_certificate(s.m_key.get(), name);
    X509* certificate = s.m_certificate.get();
    X509_set_issuer_name(certificate, X509_get_subject_name(certificate));
    add_extension(certificate, NID_basic_constraints, "critical,CA:TRUE");
    X509_sign(certificate, s.m_key.get(), EVP_sha256());
    write_certificate(authorities(), certificate);
}

test_authority::~test_authority() = default;

tls_files test_authority::issue(const std::string& name) const
{
    const state& s = *m_state;
    const key_ptr key(EVP_EC_gen("P-256"));
    const certificate_ptr made = make_certificate(key.get(), name);
    X509_set_issuer_name(made.get(),
                         X509_get_subject_name(s.m_certificate.get()));
    const std::string names = "IP:127.0.0.1,IP:" + test_host();
    add_extension(made.get(), NID_subject_alt_name, names.c_str());
    X509_sign(made.get(), s.m_key.get(), EVP_sha256());
    tls_files files{s.m_folder / (name + ".pem"), s.m_folder / (name + ".key"),
                    authorities()};
    write_certificate(files.m_certificate, made.get());
    write_key(files.m_key, key.get());
    return files;
}

std::filesystem::path test_authority::authorities() const
{
    return m_state->m_folder / (m_state->m_name + ".pem");
}

}
