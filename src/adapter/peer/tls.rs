use std::{sync::Arc, time::Duration};

use quinn::{
    ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{
    DigitallySignedStruct, SignatureScheme,
    client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
    crypto::{CryptoProvider, verify_tls13_signature},
    pki_types::{CertificateDer, PrivatePkcs8KeyDer, ServerName, UnixTime},
};

/// Name in the self-signed certificates. Peers are authenticated by the fleet key, not by this name.
pub(super) const SERVER_NAME: &str = "cranberrychute";
/// Interval of keep-alive packets: a quarter of the idle timeout, so that three may be lost.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// Time without any received packet after which a connection is closed.
const IDLE_TIMEOUT_MS: u32 = 1_000;
/// Maximum number of streams that one peer may have open.
const MAX_STREAMS: u32 = 4_096;

/// Returns the configurations of the server and client side of an endpoint, with a new certificate.
pub(super) fn tls_configs() -> anyhow::Result<(ServerConfig, ClientConfig)> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let identity = rcgen::generate_simple_self_signed(vec![SERVER_NAME.to_owned()])?;
    let key = PrivatePkcs8KeyDer::from(identity.signing_key.serialize_der());
    let server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_no_client_auth()
        .with_single_cert(vec![identity.cert.der().clone()], key.into())?;
    let client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAnyCertificate(provider)))
        .with_no_client_auth();
    let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
    server.transport_config(Arc::new(transport_config(MAX_STREAMS)));
    let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    client.transport_config(Arc::new(transport_config(0)));
    Ok((server, client))
}

/// Returns the settings of a connection on which the other side may open `streams` streams at a time.
///
/// Quinn allocates the state of all these streams when the connection opens: 340 KiB for 4,096 streams. Only the
/// side that opened a connection opens streams on it, so that side accepts none.
fn transport_config(streams: u32) -> TransportConfig {
    let mut config = TransportConfig::default();
    config
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(streams))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    config
}

/// Accepts any server certificate: the hello that follows proves knowledge of the fleet key within the TLS session.
#[derive(Debug)]
struct AcceptAnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::General("TLS 1.2 is not offered".to_owned()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        verify_tls13_signature(
            message,
            cert,
            dss,
            &self.0.signature_verification_algorithms,
        )
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}
